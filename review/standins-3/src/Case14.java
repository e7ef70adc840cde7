import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A hold that acknowledges ends gets no answer and is carried out late, by the next boot of the
 * worker, whose ends are numbered from 1 again. A second hold gets no answer shortly before.
 */
final class Case14 {

    private static final long FIRST_LATE_MILLIS = 11_500;
    private static final long SECOND_HOLD_MILLIS = 10_550;
    private static final long SECOND_LATE_MILLIS = 4_000;
    private static final long DOWN_MILLIS = 2_000;
    private static final int EARLIER_TASKS = 120;
    private static final int LEAST_SEEN = 110;
    private static final int TASKS = 8;
    private static final int TASK_MILLIS = 500;
    private static final long TOTAL_MILLIS = 28_000;

    private Case14() {}

    /** Runs the case. */
    public static void main(String[] arguments) throws IOException {
        Scene scene = new Scene(arguments[0], 3, "z1", "z2", "z3");
        Worker special = scene.worker("w0", "z1", 8_000, "b", "r1-0");
        for (int number = 1; number < 8; number++) {
            scene.worker("w" + number, "z" + (number % 3 + 1), 8_000, "a", "r1-" + number / 4);
        }
        scene.start();
        AtomicLong firstAt = new AtomicLong(-1);
        AtomicInteger late = new AtomicInteger();
        if (scene.trouble) {
            special.lateness = (to, call) -> {
                if (!call.path().equals("/api/hold")) {
                    return 0;
                }
                long now = scene.record.now();
                if (call.body().path("last_seen").asLong() >= LEAST_SEEN && late.compareAndSet(0, 1)) {
                    firstAt.set(now);
                    Timer.after(1_000, () -> to.crash(DOWN_MILLIS));
                    return FIRST_LATE_MILLIS;
                }
                if (late.get() == 1 && now - firstAt.get() >= SECOND_HOLD_MILLIS && late.compareAndSet(1, 2)) {
                    return SECOND_LATE_MILLIS;
                }
                return 0;
            };
        }
        long end = scene.record.now() + TOTAL_MILLIS;
        Submission earlier = scene.submission();
        Scene.step(earlier.steps, EARLIER_TASKS, 500, 100).put("requirements", "b");
        long begin = scene.record.now();
        int status = scene.clients.submit(earlier, Scene.QUEUE, 4);
        while (scene.trouble && firstAt.get() < 0 && scene.record.now() < begin + 10_000) {
            Clients.pause(20);
        }
        Clients.pause(Math.max(0, SECOND_HOLD_MILLIS - 250 - scene.record.now()
                + (scene.trouble ? firstAt.get() : begin)));
        Submission submission = scene.submission();
        Scene.step(submission.steps, TASKS, 500, TASK_MILLIS).put("requirements", "b");
        if (status != 200 || scene.clients.submit(submission, Scene.QUEUE, 4) != 200) {
            scene.exit(Scene.NOT_RUN, "a submission was not accepted");
        }
        while (scene.record.now() < end) {
            scene.clients.state(submission, Scene.QUEUE);
            Clients.pause(500);
        }
        if (scene.trouble && late.get() < 2) {
            scene.exit(Scene.NOT_RUN, "the orders to be late did not come");
        }
        boolean broken = scene.fleet.rules.counts().containsKey("TWICE");
        scene.exit(broken ? 1 : 0, broken ? "TWICE is broken" : "TWICE held");
    }
}
