package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;

/** Submissions whose write to the store stays unanswered are cancelled by their clients. */
final class CancelCase {

    private static final String PREFIX = "/pule252/";

    private static final int SUBMISSIONS = 24;

    private static final double LOST_SHARE = 0.3;

    private CancelCase() {}

    public static void main(String[] arguments) {
        Rig.main(arguments[0], CancelCase::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Worker.Tasks tasks =
                new Worker.Tasks() {
                    @Override
                    public long cpu(String task) {
                        return 1_000;
                    }

                    @Override
                    public long workMillis(Worker worker, String task, int run) {
                        return LASTS;
                    }
                };
        for (int number = 1; number <= 6; number++) {
            rig.addWorker("i-" + number, 16_000, List.of("a", "r1-1"), tasks);
        }
        rig.publish(List.<Object[]>of(new Object[] {"r-9n73hh2", PREFIX, 3}));
        rig.startVms(3);

        // Three in ten writes get no answer and are done 1 to 6 s later, for 4.5 s.
        Random random = new Random(7);
        if (rig.trouble) {
            rig.store.writeFault(
                    transaction ->
                            random.nextDouble() < LOST_SHARE
                                    ? 1_000 + random.nextInt(5_000)
                                    : Store.WriteFault.NONE);
            rig.recorder.line("store: some writes are left unanswered and done late");
        }
        List<Future<String>> clients = new ArrayList<>();
        for (int number = 0; number < SUBMISSIONS; number++) {
            String id = String.format("5c0e7a21d94b%04x", number);
            Rig.Vm vm = rig.vms.get(number % rig.vms.size());
            Rig.Vm next = rig.vms.get((number + 1) % rig.vms.size());
            boolean unwanted = number % 6 == 0;
            clients.add(rig.threads.submit(client(rig, id, vm, next, unwanted)));
            Rig.sleep(140);
        }
        Rig.sleep(1_100);
        rig.store.writeFault(transaction -> Store.WriteFault.NONE);
        rig.recorder.line("store: all writes are answered again");
        Map<String, String> outcomes = new HashMap<>();
        for (int number = 0; number < SUBMISSIONS; number++) {
            outcomes.put(String.format("5c0e7a21d94b%04x", number), clients.get(number).get());
        }
        // The last late write is done 6 s after the trouble; then the core is calm for contact_ms,
        // and a further stretch of cancel_ms and stop_ms passes.
        Rig.sleep(6_000 + Rig.CONTACT_MILLIS);
        rig.recorder.line("the core is stable again");
        Rig.sleep(2 * (Rig.CANCEL_MILLIS + Worker.STOP_MILLIS));
        int cancelled = 0;
        int broken = 0;
        for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
            if (!outcome.getValue().startsWith("cancelled")) {
                continue;
            }
            cancelled++;
            List<Worker.Run> active =
                    rig.runsOf(outcome.getKey()).stream().filter(Worker.Run::isActive).toList();
            if (!active.isEmpty()) {
                broken++;
                rig.recorder.line(
                        "submission %s: %s, and runs: %s on %s, for %d ms",
                        outcome.getKey(),
                        outcome.getValue(),
                        active.get(0).task,
                        active.get(0).worker,
                        rig.recorder.now() - active.get(0).startedMillis);
            }
        }
        rig.recorder.line("%d cancels acknowledged, %d of them run on", cancelled, broken);
        if (cancelled == 0) {
            throw new Rig.NotRun("no submission was cancelled");
        }
        return broken == 0;
    }

    /** Hands a submission in, and cancels it if it is not wanted or its outcome is unknown. */
    private static Callable<String> client(
            Rig rig, String id, Rig.Vm vm, Rig.Vm next, boolean unwanted) {
        return () -> {
            ObjectNode body = Http.object().put("spec", "watch");
            body.putArray("steps")
                    .addObject()
                    .put("count", 1)
                    .put("cpu", 1_000)
                    .put("mem_mb", 256)
                    .put("long_running", true);
            Rig.Answer handedIn = rig.call(vm, "POST", PREFIX + id, body);
            if (handedIn.status() == 200 && !unwanted) {
                return "accepted";
            }
            for (int attempt = 0; attempt < 4; attempt++) {
                Rig.Answer answer = rig.call(next, "DELETE", PREFIX + id, null);
                if (answer.status() / 100 == 2 || answer.status() == 410) {
                    return "cancelled, " + handedIn.status() + " then " + answer.status();
                }
                Rig.sleep(500);
            }
            return "unknown";
        };
    }
}
