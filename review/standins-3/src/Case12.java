import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Some submissions inside the limits that come within a second and have many steps each. */
final class Case12 {

    private static final int SUBMISSIONS = 30;
    private static final int STEPS = 9_000;

    private Case12() {}

    /** Runs the case. */
    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(arguments[0], 3, "z1", "z2", "z3");
        for (int number = 0; number < 8; number++) {
            scene.worker("w" + number, "z" + (number % 3 + 1), 8_000, "a", "r1-" + number / 4);
        }
        scene.start();
        OrdinaryWork.play(scene, "Fault", () -> {
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < SUBMISSIONS; number++) {
                Submission large = scene.submission();
                large.steps.addObject().put("count", 1).put("estimate_ms", 60_000);
                for (int step = 1; step < STEPS; step++) {
                    large.steps.addObject().put("count", 1).putArray("after").add(0);
                }
                if (number == 0) {
                    scene.record.add("%d submissions of %d steps, %d bytes each", SUBMISSIONS, STEPS, large.body().toString().length());
                }
                Thread client = new Thread(() -> scene.clients.submit(large, Scene.QUEUE, 1));
                client.setDaemon(true);
                clients.add(client);
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) {
                try {
                    client.join();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        });
    }
}
