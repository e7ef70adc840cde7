package org.damasktiller.scheduler.evacuation;

/** Tells which availability zones may get starts. */
@FunctionalInterface
public interface ZoneGuard {

    /** Allows starts everywhere, for deployments whose zones are never evacuated. */
    ZoneGuard OPEN = (zone, nowMillis) -> true;

    /**
     * Returns whether tasks may start on the workers of a zone.
     *
     * @param zone the name of the zone
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     * @return whether starts may be sent there now
     */
    boolean allowsStarts(String zone, long nowMillis);
}
