package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A repeated submission, one occurrence of which loses its worker when the owner of the cell is killed. */
final class OccurrenceCase {

    private static final String ID = "5c0e7a21d94b36f8";

    private static final String PREFIX = "/lohu930/";

    private static final int OCCURRENCES = 3;

    private static final long WORK_MILLIS = 9_000;

    private OccurrenceCase() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], OccurrenceCase::run);
    }

    private static boolean run(Rig rig) {
        Worker.Tasks tasks =
                new Worker.Tasks() {
                    @Override
                    public long cpu(String task) {
                        return 4_000;
                    }

                    @Override
                    public long workMillis(Worker worker, String task, int run) {
                        return WORK_MILLIS;
                    }
                };
        // One worker of eight is lost for some seconds.
        for (int number = 1; number <= 8; number++) {
            rig.addWorker("i-" + number, 4_000, List.of("a", "r1-1"), tasks);
        }
        rig.publish(List.<Object[]>of(new Object[] {"r-3hwrr6x", PREFIX, 2}));
        rig.startVms(3);

        Rig.Vm owner = rig.owner();
        Rig.Vm entry = rig.other(owner);
        ObjectNode repeated =
                Http.object()
                        .put("spec", "repeated")
                        .put("start_at_ms", System.currentTimeMillis() + 2_000)
                        .put("repeat_count", OCCURRENCES)
                        .put("interval_ms", 2_000);
        repeated.putArray("steps")
                .addObject()
                .put("count", 1)
                .put("cpu", 4_000)
                .put("mem_mb", 256)
                .put("estimate_ms", WORK_MILLIS);
        if (rig.call(entry, "POST", PREFIX + ID, repeated).status() != 200) {
            throw new Rig.NotRun("the submission is not accepted");
        }
        rig.await(8_000, "two occurrences run", () -> rig.runsOf(ID).size() == 2);
        Worker.Run first = rig.runsOf(ID + ".0.").get(0);
        Rig.sleep(500);
        if (rig.trouble) {
            Worker lost = rig.worker(first.worker);
            lost.crash();
            owner.signal("KILL");
            Rig.sleep(1_000);
            owner.start();
            Rig.sleep(3_000);
            lost.boot(true);
        }
        boolean[] succeeded = new boolean[1];
        rig.poll(
                70_000,
                () -> {
                    Rig.sleep(1_000);
                    String state = rig.call(entry, "GET", PREFIX + ID, null).body();
                    succeeded[0] = state.contains("succeeded");
                    return succeeded[0] || idleMillis(rig) >= Rig.FINISH_MILLIS + 3_000;
                });
        for (int number = 0; number < OCCURRENCES; number++) {
            List<Worker.Run> runs = rig.runsOf(ID + "." + number + ".");
            rig.recorder.line(
                    "occurrence %d: %d starts, %s",
                    number, runs.size(), runs.stream().map(run -> run.how).toList());
        }
        rig.recorder.line(
                "nothing has run for %d ms, while all %d workers are free",
                idleMillis(rig), rig.workers.size());
        return succeeded[0];
    }

    /** Returns for how long nothing has run, in milliseconds. */
    private static long idleMillis(Rig rig) {
        if (rig.runs.stream().anyMatch(Worker.Run::isActive)) {
            return 0;
        }
        long lastEnd = rig.runs.stream().mapToLong(run -> run.endedMillis).max().orElse(0);
        return rig.recorder.now() - lastEnd;
    }
}
