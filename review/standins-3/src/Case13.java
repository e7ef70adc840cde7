import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One start order gets no answer and is carried out late. Once the task has been started again, the
 * worker of the first order crashes and is back under its identifier before that is carried out.
 */
final class Case13 {

    private static final long LATE_MILLIS = 9_000;
    private static final long DOWN_MILLIS = 2_000;
    private static final int TASK_MILLIS = 15_000;
    private static final long TOTAL_MILLIS = 24_000;

    private Case13() {}

    /** Runs the case. */
    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(arguments[0], 3, "z1", "z2", "z3");
        for (int number = 0; number < 8; number++) {
            scene.worker("w" + number, "z" + (number % 3 + 1), 8_000, "a", "r1-" + number / 4);
        }
        scene.start();
        AtomicReference<String> lateTask = new AtomicReference<>();
        AtomicReference<Worker> hit = new AtomicReference<>();
        AtomicReference<Boolean> crashed = new AtomicReference<>(false);
        if (scene.trouble) {
            scene.fleet.workers.values().forEach(worker -> worker.lateness = (to, call) -> {
                String task = call.body().path("task").asText();
                if (call.path().equals("/api/run-start") && lateTask.compareAndSet(null, task)) {
                    hit.set(to);
                    return LATE_MILLIS;
                }
                if (call.path().equals("/api/run-start") && call.body().path("run").asInt() > 1
                        && task.equals(lateTask.get()) && crashed.compareAndSet(false, true)) {
                    Timer.after(200, () -> hit.get().crash(DOWN_MILLIS));
                }
                return 0;
            });
        }
        Submission submission = scene.submission();
        Scene.step(submission.steps, 2, 2_000, TASK_MILLIS);
        if (scene.clients.submit(submission, Scene.QUEUE, 4) != 200) {
            scene.exit(Scene.NOT_RUN, "the submission was not accepted");
        }
        long end = scene.record.now() + TOTAL_MILLIS;
        while (scene.record.now() < end) {
            scene.clients.state(submission, Scene.QUEUE);
            Clients.pause(1_000);
        }
        if (scene.trouble && !crashed.get()) {
            scene.exit(Scene.NOT_RUN, "the task was not started again in time");
        }
        boolean broken = scene.fleet.rules.counts().containsKey("TWICE");
        scene.exit(broken ? 1 : 0, broken ? "TWICE is broken" : "TWICE held");
    }
}
