import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs actions later, on a thread of its own. */
final class Timer {

    private static final ScheduledExecutorService EXECUTOR =
            Executors.newScheduledThreadPool(
                    4,
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    private Timer() {}

    /** Runs an action after some milliseconds. */
    static void after(long millis, Runnable action) {
        EXECUTOR.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (RuntimeException exception) {
                        exception.printStackTrace();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }
}
