import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Ordinary clients beside others, and what LOST asks of their submissions. */
final class OrdinaryWork {

    private static final int ATTEMPTS = 5;
    private static final int TASK_MILLIS = 300;
    private static final long TRAFFIC_MILLIS = 10_000;
    private static final long INTERVAL_MILLIS = 250;

    /** The bound finish_s of the settings. */
    private static final long FINISH_MILLIS = 14_000;

    /** For how long a submission must have nothing running, after the rule. */
    private static final long IDLE_MILLIS = 3_000;

    /** How often processes of a machine may not end by themselves. */
    private static final int OWN_ENDS = 3;

    private OrdinaryWork() {}

    /** Hands ordinary submissions in before and after other clients do something, and checks a rule. */
    static void play(Scene scene, String rule, Runnable others) {
        List<Submission> all = new ArrayList<>();
        submit(scene, all, 4_000);
        if (all.stream().anyMatch(submission -> submission.acceptedAt < 0 || !scene.fleet.rules.isDone(submission))) {
            scene.exit(Scene.NOT_RUN, "ordinary submissions are not served before the disruption");
        }
        if (scene.trouble) {
            others.run();
        }
        submit(scene, all, TRAFFIC_MILLIS);
        scene.record.add("end of the traffic of ordinary clients");
        Clients.pause(FINISH_MILLIS);
        ask(scene, all);
        List<Submission> open = new ArrayList<>(all.stream()
                .filter(submission -> submission.acceptedAt >= 0 && !scene.fleet.rules.isDone(submission)).toList());
        long end = scene.record.now() + IDLE_MILLIS;
        while (scene.record.now() < end) {
            open.removeIf(submission -> scene.fleet.workers.values().stream()
                    .anyMatch(worker -> worker.tasks().stream().anyMatch(task -> task.startsWith(submission.id))));
            Clients.pause(20);
        }
        for (Submission submission : open) {
            if (!scene.fleet.rules.isDone(submission)) {
                scene.fleet.rules.broken("LOST", "%s, accepted, has had nothing running for %d ms; all workers together run %d tasks",
                        submission.id, IDLE_MILLIS, scene.fleet.rules.atWork());
            }
        }
        checkEnds(scene);
        boolean broken = scene.fleet.rules.counts().containsKey(rule);
        scene.exit(broken ? 1 : 0, rule + (broken ? " is broken" : " held"));
    }

    /** Checks that processes do not end by themselves three times on a tenth of the machines, two at least. */
    private static void checkEnds(Scene scene) {
        long machines = scene.nodes.all.stream().filter(node -> node.ownEnds >= OWN_ENDS).count();
        if (machines >= Math.max(2, scene.nodes.all.size() / 10)) {
            scene.fleet.rules.broken("Fault", "on %d of %d machines processes have ended by themselves %d times or more",
                    machines, scene.nodes.all.size(), OWN_ENDS);
        }
    }

    /** Hands submissions in for some time, and returns after the last attempt of their clients. */
    private static void submit(Scene scene, List<Submission> all, long millis) {
        List<Thread> clients = new ArrayList<>();
        long end = scene.record.now() + millis;
        while (scene.record.now() < end) {
            Submission submission = scene.submission();
            Scene.step(submission.steps, 1, 500, TASK_MILLIS);
            all.add(submission);
            Thread client = new Thread(() -> scene.clients.submit(submission, Scene.QUEUE, ATTEMPTS));
            client.setDaemon(true);
            client.start();
            clients.add(client);
            Clients.pause(INTERVAL_MILLIS);
        }
        for (Thread client : clients) {
            try {
                client.join();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        Clients.pause(2 * TASK_MILLIS);
    }

    /** Asks for each accepted submission at several machines. */
    private static void ask(Scene scene, List<Submission> all) {
        List<Submission> accepted = all.stream().filter(submission -> submission.acceptedAt >= 0).toList();
        scene.record.add("%d of %d ordinary submissions were accepted; their states are asked for", accepted.size(), all.size());
        CountDownLatch asked = new CountDownLatch(accepted.size());
        for (Submission submission : accepted) {
            Thread client = new Thread(() -> {
                String state = "0";
                for (int attempt = 0; attempt < ATTEMPTS && !state.matches("[a-z]+|410"); attempt++) {
                    state = scene.clients.state(submission, Scene.QUEUE);
                }
                if (state.equals("410") || !state.matches("[a-z]+")) {
                    scene.fleet.rules.broken("LOST", "%s, accepted, is asked for: %s", submission.id,
                            state.equals("410") ? "410" : "no answer in " + ATTEMPTS + " attempts");
                }
                asked.countDown();
            });
            client.setDaemon(true);
            client.start();
        }
        try {
            asked.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
