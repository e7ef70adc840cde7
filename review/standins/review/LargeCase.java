package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A large submission, and small ones that are handed in one after the other beside it. */
final class LargeCase {

    private static final String LARGE_ID = "aaaa7a21d94b36f8";

    private static final String PREFIX = "/pufi791/";

    private static final int WORKERS = 8;

    private static final long WORKER_CPU = 64_000;

    private static final long TASK_CPU = 100;

    private static final long END_MILLIS = 112_000;

    private LargeCase() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], LargeCase::run);
    }

    private static boolean run(Rig rig) {
        Worker.Tasks tasks =
                new Worker.Tasks() {
                    @Override
                    public long cpu(String task) {
                        return TASK_CPU;
                    }

                    @Override
                    public long workMillis(Worker worker, String task, int run) {
                        return 20;
                    }
                };
        rig.quiet = true;
        for (int number = 1; number <= WORKERS; number++) {
            rig.addWorker("i-" + number, WORKER_CPU, List.of("a", "r1-1"), tasks);
        }
        rig.publish(List.<Object[]>of(new Object[] {"r-73d3zji", PREFIX, 2}));
        rig.startVms(3);
        Rig.Vm vm = rig.vms.get(0);
        ObjectNode large = submission(4, rig.trouble ? 1_250 : 20, false);
        large.put("start_at_ms", System.currentTimeMillis())
                .put("repeat_count", 8)
                .put("interval_ms", 1_000);
        hand(rig, vm, LARGE_ID, large);
        int number = 0;
        while (rig.recorder.now() < END_MILLIS - Rig.FINISH_MILLIS - 3_000) {
            String id = String.format("5c0e7a21d94b%04x", number++);
            long handedInMillis = rig.recorder.now();
            hand(rig, vm, id, submission(2, 2, true));
            boolean done =
                    rig.poll(
                            Rig.FINISH_MILLIS,
                            () -> {
                                Rig.sleep(200);
                                return rig.call(vm, "GET", PREFIX + id, null)
                                        .body()
                                        .contains("succeeded");
                            });
            rig.recorder.line(
                    "small submission %d is %s after %d ms; %d starts in all",
                    number,
                    done ? "succeeded" : "not done",
                    rig.recorder.now() - handedInMillis,
                    rig.runs.size());
            if (!done && isLost(rig, id)) {
                return false;
            }
            Rig.sleep(500);
        }
        return true;
    }

    /**
     * Returns whether, for 3 s, a submission has nothing running although a task's turn has come
     * and under half of the capacity is in use.
     */
    private static boolean isLost(Rig rig, String id) {
        long until = rig.recorder.now() + 3_000;
        while (rig.recorder.now() < until) {
            long active = rig.runsOf(id).stream().filter(Worker.Run::isActive).count();
            long firstDone = countDone(rig, id + ".0.0.");
            long secondDone = countDone(rig, id + ".0.1.");
            long free = rig.workers.stream().mapToLong(Worker::freeCpu).sum();
            rig.recorder.line(
                    "%s: %d of 2 tasks of the first step and %d of 2 of the second are done, %d"
                            + " run, %d of %d millicores are free",
                    id, firstDone, secondDone, active, free, WORKERS * WORKER_CPU);
            if (active > 0 || firstDone + secondDone == 4 || free * 2 < WORKERS * WORKER_CPU) {
                return false;
            }
            Rig.sleep(500);
        }
        return true;
    }

    private static long countDone(Rig rig, String prefix) {
        return rig.runsOf(prefix).stream().filter(run -> run.how.equals("done")).count();
    }

    private static ObjectNode submission(int steps, int count, boolean inTurn) {
        ObjectNode body = Http.object().put("spec", "bulk");
        ArrayNode rows = body.putArray("steps");
        for (int step = 0; step < steps; step++) {
            ObjectNode row =
                    rows.addObject()
                            .put("count", count)
                            .put("cpu", TASK_CPU)
                            .put("mem_mb", 16)
                            .put("estimate_ms", 20);
            if (inTurn && step > 0) {
                row.putArray("after").add(step - 1);
            }
        }
        return body;
    }

    private static void hand(Rig rig, Rig.Vm vm, String id, ObjectNode body) {
        if (rig.call(vm, "POST", PREFIX + id, body).status() != 200) {
            throw new Rig.NotRun("a submission is not accepted");
        }
    }
}
