package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A gang whose members start on a worker that fails all that it starts. */
final class GangCase {

    private static final String ID = "5c0e7a21d94b36f8";

    private static final String PREFIX = "/lohu930/";

    private static final int MEMBERS = 3;

    private static final int MAX_ATTEMPTS = 3;

    private static final int WORKERS = 12;

    /** How long the worker fails what it starts; it fails from before the submission on. */
    private static final long GREY_MILLIS = 6_500;

    private static long greyUntilMillis;

    private GangCase() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], GangCase::run);
    }

    private static boolean run(Rig rig) {
        Worker.Tasks tasks =
                new Worker.Tasks() {
                    @Override
                    public long cpu(String task) {
                        return 2_000;
                    }

                    @Override
                    public long workMillis(Worker worker, String task, int run) {
                        return isGrey(rig, worker) ? 200 : 1_500;
                    }

                    @Override
                    public String end(Worker worker, String task, int run) {
                        return isGrey(rig, worker) ? "failed" : "done";
                    }

                    @Override
                    public int gangSize(String task) {
                        return MEMBERS;
                    }
                };
        for (int number = 1; number <= WORKERS; number++) {
            rig.addWorker("i-" + number, 16_000, List.of("a", "r1-1"), tasks);
        }
        rig.publish(List.<Object[]>of(new Object[] {"r-3hwrr6x", PREFIX, MAX_ATTEMPTS}));
        rig.startVms(2);

        greyUntilMillis = rig.recorder.now() + GREY_MILLIS;
        if (rig.trouble) {
            rig.recorder.line("worker i-1: fails all that it starts, for %d ms", GREY_MILLIS);
        }
        ObjectNode body = Http.object().put("spec", "gang");
        body.putArray("steps")
                .addObject()
                .put("count", MEMBERS)
                .put("cpu", 2_000)
                .put("mem_mb", 256)
                .put("estimate_ms", 1_500)
                .put("gang", true);
        Rig.Vm vm = rig.vms.get(0);
        if (rig.call(vm, "POST", PREFIX + ID, body).status() != 200) {
            throw new Rig.NotRun("the submission is not accepted");
        }
        boolean ended =
                rig.poll(
                        30_000,
                        () -> {
                            Rig.sleep(400);
                            String state = rig.call(vm, "GET", PREFIX + ID, null).body();
                            return state.contains("succeeded") || state.contains("failed");
                        });
        String state = rig.call(vm, "GET", PREFIX + ID, null).body();
        long gangRuns = rig.runsOf(ID).stream().map(run -> run.number).distinct().count();
        long failedRuns =
                rig.runsOf(ID).stream()
                        .filter(run -> run.how.equals("failed"))
                        .map(run -> run.number)
                        .distinct()
                        .count();
        rig.recorder.line(
                "the gang was started %d times, and failed %d times, of %d that are allowed: %s",
                gangRuns, failedRuns, MAX_ATTEMPTS, state);
        return ended && (state.contains("succeeded") || failedRuns >= MAX_ATTEMPTS);
    }

    /** Returns whether a worker fails all that it starts: one of twelve. */
    private static boolean isGrey(Rig rig, Worker worker) {
        return rig.trouble
                && worker.id.equals("i-1")
                && rig.recorder.now() < greyUntilMillis;
    }
}
