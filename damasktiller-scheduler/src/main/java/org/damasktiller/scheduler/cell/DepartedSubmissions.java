package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * The submissions that have moved to another cell in this term. They may come back, but older
 * readings of their entries must not be taken for that.
 */
final class DepartedSubmissions {

    /**
     * How long a submission that has not begun is still counted here, in milliseconds, which is
     * longer than it takes until the owner of the other cell has published its counts.
     */
    private static final long COUNTED_MILLIS = 3_000;

    /** The store revisions at which they have left, by identifier. */
    private final Map<String, Long> revisions = new HashMap<>();

    /** The submissions that are still counted as waiting, by identifier. */
    private final Map<String, Counted> counted = new HashMap<>();

    /** Creates a record without submissions. */
    DepartedSubmissions() {}

    /**
     * Adds a submission.
     *
     * @param id the identifier of the submission
     * @param revision the store revision at which it has left
     */
    void add(String id, long revision) {
        revisions.put(id, revision);
    }

    /**
     * Counts a submission that has left before its first start as waiting for some time.
     *
     * @param id the identifier of the submission
     * @param route the name of its route
     * @param nowMillis the current time, in milliseconds
     */
    void keepCounting(String id, String route, long nowMillis) {
        counted.put(id, new Counted(route, nowMillis + COUNTED_MILLIS));
    }

    /**
     * Returns whether an entry of a submission is from before it left.
     *
     * @param id the identifier of the submission
     * @param revision the revision of the entry
     * @return whether the submission has left since
     */
    boolean isOutdated(String id, long revision) {
        return revision <= revisions.getOrDefault(id, 0L);
    }

    /**
     * Adds the submissions that are still counted as waiting.
     *
     * @param counts the counts by the name of the route
     * @param nowMillis the current time, in milliseconds
     */
    void addTo(Map<String, Integer> counts, long nowMillis) {
        counted.values().removeIf(entry -> nowMillis >= entry.untilMillis());
        counted.values().forEach(entry -> counts.merge(entry.route(), 1, Integer::sum));
    }

    /**
     * A submission that is still counted.
     *
     * @param route the name of its route
     * @param untilMillis until when it is counted, in milliseconds
     */
    private record Counted(String route, long untilMillis) {}
}
