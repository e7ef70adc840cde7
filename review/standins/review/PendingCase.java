package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;

/** Submissions wait while the workers are full, and clients ask how many do. */
final class PendingCase {

    private static final int QUEUES = 6;

    private static final String FULL_ID = "aaaa7a21d94b36f8";

    private static final long LONG_MILLIS = 200_000;

    private static final int WORKERS = 6;

    private static final long WORKER_CPU = 16_000;

    private static final double LOST_SHARE = 0.3;

    private static final long TROUBLE_MILLIS = 4_500;

    private static final long LATEST_WRITE_MILLIS = 6_000;

    private PendingCase() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], PendingCase::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Worker.Tasks tasks =
                new Worker.Tasks() {
                    @Override
                    public long cpu(String task) {
                        return WORKER_CPU;
                    }

                    @Override
                    public long workMillis(Worker worker, String task, int run) {
                        return task.startsWith(FULL_ID) ? LONG_MILLIS : 600;
                    }
                };
        for (int number = 1; number <= WORKERS; number++) {
            rig.addWorker("i-" + number, WORKER_CPU, List.of("a", "r1-1"), tasks);
        }
        List<Object[]> queues = new ArrayList<>();
        queues.add(new Object[] {"r-9n73hh2", "/pule252/", 3});
        for (int queue = 0; queue < QUEUES; queue++) {
            queues.add(new Object[] {"r-3hwrr6" + queue, prefix(queue), 2});
        }
        rig.publish(queues);
        rig.startVms(3);
        ObjectNode full = submission();
        ((ObjectNode) full.path("steps").path(0))
                .put("count", WORKERS)
                .put("estimate_ms", LONG_MILLIS);
        if (rig.call(rig.vms.get(0), "POST", "/pule252/" + FULL_ID, full).status() != 200) {
            throw new Rig.NotRun("the submission is not accepted");
        }
        rig.await(5_000, "the workers are full", () -> rig.runs.size() == WORKERS);
        Random random = new Random(7);
        boolean held = true;
        for (int queue = 0; queue < QUEUES && held; queue++) {
            held = holds(rig, random, queue);
        }
        return held;
    }

    /** Hands 22 submissions in to a queue during the trouble, and looks at its count afterwards. */
    private static boolean holds(Rig rig, Random random, int queue) throws Exception {
        if (rig.trouble) {
            rig.store.writeFault(
                    transaction -> {
                        synchronized (random) {
                            return random.nextDouble() < LOST_SHARE
                                    ? 1_000 + random.nextInt((int) LATEST_WRITE_MILLIS - 1_000)
                                    : Store.WriteFault.NONE;
                        }
                    });
            rig.recorder.line("store: some writes are left unanswered and done late");
        }
        long start = rig.recorder.now();
        List<Future<Rig.Answer>> answers = new ArrayList<>();
        for (int number = 0; number < 22; number++) {
            String path = prefix(queue) + String.format("5c0e7a21d9%02x%04x", queue, number);
            Rig.Vm vm = rig.vms.get(number % rig.vms.size());
            answers.add(rig.threads.submit(() -> rig.call(vm, "POST", path, submission())));
            Rig.sleep(number < 6 ? 450 : 60);
        }
        Rig.sleep(start + TROUBLE_MILLIS - rig.recorder.now());
        rig.store.writeFault(transaction -> Store.WriteFault.NONE);
        rig.recorder.line("store: all writes are answered again");
        int accepted = 0;
        for (Future<Rig.Answer> answer : answers) {
            accepted += answer.get().status() == 200 ? 1 : 0;
        }
        Rig.sleep(LATEST_WRITE_MILLIS + Rig.CONTACT_MILLIS);
        boolean held = true;
        for (Rig.Vm vm : rig.vms) {
            JsonNode body =
                    Http.JSON.readTree(rig.call(vm, "GET", prefix(queue), null).body());
            int pending = body.path("pending").asInt(-1);
            rig.recorder.line(
                    "queue %d: %d accepted submissions wait, %s says %d",
                    queue, accepted, vm.name, pending);
            held &= pending * 2 >= accepted;
        }
        return held;
    }

    private static String prefix(int queue) {
        return "/lohu93" + queue + "/";
    }

    private static ObjectNode submission() {
        ObjectNode body = Http.object().put("spec", "waits");
        body.putArray("steps")
                .addObject()
                .put("count", 1)
                .put("cpu", WORKER_CPU)
                .put("mem_mb", 256)
                .put("estimate_ms", 600);
        return body;
    }
}
