package org.damasktiller.daemon.drive;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Keeps the callers that wait for a reply, by number. Used on its reactor's thread only.
 *
 * @param <R> the type of the replies
 */
public final class PendingReplies<R> {

    /** The callers, by number. */
    private final Map<Long, SettablePromise<R>> callers = new HashMap<>();

    /** The latest number. */
    private long lastNumber;

    /** Creates a keeper without callers. */
    public PendingReplies() {}

    /**
     * Asks for a reply.
     *
     * @param question asks under the number it is given
     * @return the reply
     */
    public Promise<R> ask(LongConsumer question) {
        lastNumber++;
        SettablePromise<R> caller = new SettablePromise<>();
        callers.put(lastNumber, caller);
        question.accept(lastNumber);
        return caller;
    }

    /**
     * Passes a reply to the caller that waits for it; a second reply is dropped.
     *
     * @param number the number of the question
     * @param reply the reply
     */
    public void answer(long number, R reply) {
        SettablePromise<R> caller = callers.remove(number);
        if (caller != null) {
            caller.set(reply);
        }
    }
}
