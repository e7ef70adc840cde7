package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A queue is missing in one version of the manifest while a submission of it is tried again. */
final class RouteCase {

    private static final String ID = "5c0e7a21d94b36f8";

    private static final String PREFIX = "/lohu930/";

    private static final int MAX_ATTEMPTS = 5;

    private static final int FAILING_RUNS = 3;

    private RouteCase() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], RouteCase::run);
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
                        return 1_000;
                    }

                    @Override
                    public String end(Worker worker, String task, int run) {
                        return rig.runsOf(ID).size() <= FAILING_RUNS ? "failed" : "done";
                    }
                };
        for (int number = 1; number <= 7; number++) {
            rig.addWorker("i-" + number, 16_000, List.of("a", "r1-1"), tasks);
        }
        Object[] other = {"r-73d3zji", "/pufi791/", 2};
        Object[] queue = {"r-3hwrr6x", PREFIX, MAX_ATTEMPTS};
        rig.publish(List.of(other, queue));
        rig.startVms(2);

        ObjectNode body = Http.object().put("spec", "fails at first");
        body.putArray("steps")
                .addObject()
                .put("count", 1)
                .put("cpu", 2_000)
                .put("mem_mb", 256)
                .put("estimate_ms", 1_000);
        Rig.Vm vm = rig.vms.get(0);
        if (rig.call(vm, "POST", PREFIX + ID, body).status() != 200) {
            throw new Rig.NotRun("the submission is not accepted");
        }
        Rig.sleep(300);
        if (rig.trouble) {
            rig.publish(List.<Object[]>of(other));
            Rig.sleep(4_000);
            rig.publish(List.of(other, queue));
        }
        Rig.sleep(3_000);
        boolean ended =
                rig.poll(
                        30_000,
                        () -> {
                            Rig.sleep(500);
                            String state = rig.call(vm, "GET", PREFIX + ID, null).body();
                            return state.contains("succeeded") || state.contains("failed");
                        });
        String state = rig.call(vm, "GET", PREFIX + ID, null).body();
        long failed = rig.runsOf(ID).stream().filter(run -> run.how.equals("failed")).count();
        rig.recorder.line(
                "%d runs ended failed of %d that are allowed: %s", failed, MAX_ATTEMPTS, state);
        return ended && (state.contains("succeeded") || failed >= MAX_ATTEMPTS);
    }
}
