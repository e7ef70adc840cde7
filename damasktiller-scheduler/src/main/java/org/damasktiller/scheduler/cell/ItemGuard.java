package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.fatal.FatalErrors;
import org.damasktiller.scheduler.port.DecisionLog;

/**
 * Lets a listener handle the items of a watched prefix, of which other writers have left some, so
 * that an error for one of them neither reaches the other items nor ends the watch. It is logged
 * with the key, and the item is skipped.
 *
 * <p>It catches all unchecked exceptions, since nobody can say which one an item causes that the
 * code did not expect; the event loop would log the exception and drop the rest of the callback,
 * that is, the other items and the next call of the watch. Errors of the virtual machine pass.
 */
final class ItemGuard {

    /** The maximum length of the description of an error, in characters. */
    private static final int MAX_ERROR_LENGTH = 200;

    /** The prefix of the watched keys. */
    private final String prefix;

    /** The log of the items that are skipped; it limits the lines of each event. */
    private final DecisionLog log;

    /**
     * Creates a guard.
     *
     * @param prefix the prefix of the watched keys
     * @param log the log of the items that are skipped
     */
    ItemGuard(String prefix, DecisionLog log) {
        this.prefix = prefix;
        this.log = log;
    }

    /**
     * Handles an item, or skips it if that fails.
     *
     * @param key the key of the item
     * @param revision the revision of the item
     * @param action handles the item
     */
    void run(String key, long revision, Runnable action) {
        runAndLog("watch.item-skipped", key, revision, action);
    }

    /**
     * Handles the end of a listing; a failure is logged, and the watch goes on.
     *
     * @param revision the highest revision of the listing
     * @param action handles all items together
     */
    void runForAll(long revision, Runnable action) {
        runAndLog("watch.listing-failed", prefix, revision, action);
    }

    /**
     * Runs an action and logs an unchecked exception.
     *
     * @param event the name of the event to log
     * @param key the key or the prefix
     * @param revision the revision of the item or of the listing
     * @param action the action
     */
    private void runAndLog(String event, String key, long revision, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException exception) {
            FatalErrors.rethrowFatalCause(exception);
            log.log(
                    event,
                    "key",
                    key,
                    "revision",
                    revision,
                    "error",
                    describe(exception),
                    "at",
                    innermostFrame(exception));
        }
    }

    /**
     * Describes an exception, whose message may quote what another writer has left.
     *
     * @param exception the exception
     * @return the type and the message, cut to the maximum length
     */
    static String describe(RuntimeException exception) {
        String text = exception.toString();
        return text.length() <= MAX_ERROR_LENGTH ? text : text.substring(0, MAX_ERROR_LENGTH);
    }

    /**
     * Returns where an exception was created.
     *
     * @param exception the exception
     * @return the innermost stack frame, empty if it is not known
     */
    static String innermostFrame(RuntimeException exception) {
        StackTraceElement[] frames = exception.getStackTrace();
        return frames.length == 0 ? "" : frames[0].toString();
    }
}
