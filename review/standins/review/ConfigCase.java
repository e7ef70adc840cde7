package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Queues are added while the store leaves the calls of one entry VM unanswered. */
final class ConfigCase {

    private static final int ROUNDS = 6;

    private static final long SILENT_MILLIS = 7_000;

    private static final long PUBLISH_MILLIS = 3_000;

    /** The slack of a slowed machine, eight times that of others. */
    private static final long ROLLBACK_SLACK_MILLIS = 8 * 250;

    private ConfigCase() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], ConfigCase::run);
    }

    private static boolean run(Rig rig) {
        Worker.Tasks tasks =
                new Worker.Tasks() {
                    @Override
                    public long cpu(String task) {
                        return 1_000;
                    }

                    @Override
                    public long workMillis(Worker worker, String task, int run) {
                        return 500;
                    }
                };
        for (int number = 1; number <= 6; number++) {
            rig.addWorker("i-" + number, 16_000, List.of("a", "r1-1"), tasks);
        }
        List<Object[]> queues = new ArrayList<>();
        queues.add(new Object[] {"r-3hwrr6x", "/lohu930/", 2});
        rig.publish(queues);
        rig.startVms(3);
        Rig.Vm vm = rig.other(rig.owner());
        boolean held = true;
        for (int round = 0; round < ROUNDS && held; round++) {
            held = holds(rig, vm, queues, round);
            Rig.sleep(1_000 + 170L * round);
        }
        return held;
    }

    /** Adds a queue, hands a submission in to it at a VM, and asks that VM for its state. */
    private static boolean holds(Rig rig, Rig.Vm vm, List<Object[]> queues, int round) {
        long start = rig.recorder.now();
        if (rig.trouble) {
            vm.storeSilent(true);
        }
        Rig.sleep(PUBLISH_MILLIS);
        String prefix = "/pufi79" + round + "/";
        String id = "5c0e7a21d94b36f" + round;
        queues.add(new Object[] {"r-73d3zj" + round, prefix, 2});
        rig.publish(queues);
        ObjectNode body = Http.object().put("spec", "new queue");
        body.putArray("steps")
                .addObject()
                .put("count", 1)
                .put("cpu", 1_000)
                .put("mem_mb", 256)
                .put("estimate_ms", 500);
        rig.await(
                3_000,
                "the new queue takes a submission",
                () -> rig.call(vm, "POST", prefix + id, body).status() == 200);
        rig.await(3_000, "its task runs", () -> !rig.runsOf(id).isEmpty());
        long seenMillis = rig.runsOf(id).get(0).startedMillis;
        boolean silent = true;
        boolean held = true;
        while (rig.recorder.now() - start < SILENT_MILLIS + Rig.CONTACT_MILLIS) {
            if (silent && rig.recorder.now() - start >= SILENT_MILLIS) {
                silent = false;
                if (rig.trouble) {
                    vm.storeSilent(false);
                }
            }
            long ageMillis = rig.recorder.now() - seenMillis;
            int status = rig.call(vm, "GET", prefix + id, null).status();
            if (status == 404 && ageMillis > ROLLBACK_SLACK_MILLIS) {
                held = false;
                rig.recorder.line(
                        "%s says 404 to a request sent %d ms after a worker ran a task of the queue",
                        vm.name, ageMillis);
            }
            Rig.sleep(100);
        }
        return held;
    }
}
