package org.damasktiller.standin.endpoint;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts what reaches the stand-in endpoints that share it. Safe for use by several threads. */
public final class EndpointCounters {

    /** The executions by request key. */
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    /** The number of requests received. */
    private final AtomicLong received = new AtomicLong();

    /** The number of requests run. */
    private final AtomicLong run = new AtomicLong();

    /** The number of requests refused for want of a slot. */
    private final AtomicLong refused = new AtomicLong();

    /** Creates counters at zero. */
    public EndpointCounters() {}

    /** Counts a request received. */
    void countReceived() {
        received.incrementAndGet();
    }

    /** Counts a request refused for want of a slot. */
    void countRefused() {
        refused.incrementAndGet();
    }

    /**
     * Counts an execution.
     *
     * @param key the request key, or an empty text for a request without one
     */
    void countRun(String key) {
        run.incrementAndGet();
        if (!key.isEmpty()) {
            executions.computeIfAbsent(key, any -> new AtomicInteger()).incrementAndGet();
        }
    }

    /**
     * Returns the number of requests received.
     *
     * @return the number
     */
    public long received() {
        return received.get();
    }

    /**
     * Returns the number of requests run.
     *
     * @return the number
     */
    public long run() {
        return run.get();
    }

    /**
     * Returns the number of requests refused for want of a slot.
     *
     * @return the number
     */
    public long refused() {
        return refused.get();
    }

    /**
     * Returns how often the request with a key was run.
     *
     * @param key the request key
     * @return the number
     */
    public int executions(String key) {
        AtomicInteger count = executions.get(key);
        return count == null ? 0 : count.get();
    }

    /**
     * Returns how many keys were run more than once.
     *
     * @return the number
     */
    public long doubled() {
        return executions.values().stream().filter(count -> count.get() > 1).count();
    }
}
