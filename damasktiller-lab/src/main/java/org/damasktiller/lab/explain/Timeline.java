package org.damasktiller.lab.explain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The life of one submission: the lines that name it or its tasks, and between its first and its
 * last line what happened to the workers and the cells that it met.
 */
public final class Timeline {

    /** The events of a worker that can explain what became of a run there. */
    private static final Set<String> WORKER_EVENTS =
            Set.of(
                    "worker.unlisted",
                    "worker.draining",
                    "worker.restarted",
                    "worker.suspect",
                    "worker.gone",
                    "filler.pause");

    /** The events of an owner that can explain a delay. */
    private static final Set<String> OWNER_EVENTS =
            Set.of(
                    "owner.began",
                    "owner.settled",
                    "owner.unproven",
                    "owner.ended",
                    "owner.resigned",
                    "store.lost",
                    "store.regained",
                    "process.start",
                    "process.stop");

    /** The field of a worker. */
    private static final String WORKER = "worker";

    /** The submission. */
    private final String id;

    /** The lines that name the submission. */
    private final List<LogLine> own = new ArrayList<>();

    /** All lines to print, in the order of time. */
    private final List<LogLine> told = new ArrayList<>();

    /**
     * Creates a timeline.
     *
     * @param id the submission
     * @param logs the logs
     */
    public Timeline(String id, LogLines logs) {
        this.id = id;
        Set<String> workers = new HashSet<>();
        Set<String> nodes = new HashSet<>();
        for (LogLine line : logs.lines()) {
            if (names(line)) {
                own.add(line);
                workers.add(line.field(WORKER));
                nodes.add(line.node());
            }
        }
        workers.remove("");
        if (own.isEmpty()) {
            return;
        }
        long first = own.get(0).unixMillis();
        long last = own.get(own.size() - 1).unixMillis();
        for (LogLine line : logs.lines()) {
            boolean within = line.unixMillis() >= first && line.unixMillis() <= last;
            boolean ofWorker =
                    WORKER_EVENTS.contains(line.event()) && workers.contains(line.field(WORKER));
            boolean ofOwner = OWNER_EVENTS.contains(line.event()) && nodes.contains(line.node());
            if (names(line) || (within && (ofWorker || ofOwner))) {
                told.add(line);
            }
        }
    }

    /**
     * Tells whether no line names the submission.
     *
     * @return whether none does
     */
    public boolean isEmpty() {
        return own.isEmpty();
    }

    /**
     * Returns the timeline as text.
     *
     * @return a line for each event with the time since the first, and a summary at the end
     */
    public List<String> lines() {
        if (own.isEmpty()) {
            return List.of("no line of these logs names submission " + id);
        }
        long first = own.get(0).unixMillis();
        List<String> lines = new ArrayList<>();
        for (LogLine line : told) {
            lines.add(
                    String.format(
                            "%8d ms  %-24s %-22s %s",
                            line.unixMillis() - first, line.node(), line.event(), line.fields()));
        }
        lines.add(summary(first));
        return lines;
    }

    /**
     * Tells whether a line names the submission or one of its tasks.
     *
     * @param line the line
     * @return whether it does
     */
    private boolean names(LogLine line) {
        return line.field("id").equals(id) || line.field("task").startsWith(id + '.');
    }

    /**
     * Sums up what the lines say.
     *
     * @param first the time of the first line, in milliseconds since 1970
     * @return one line
     */
    private String summary(long first) {
        long starts = count("run.start");
        long tasks =
                own.stream()
                        .filter(line -> line.event().equals("run.start"))
                        .map(line -> line.field("task"))
                        .distinct()
                        .count();
        long lost = count("run.lost");
        long refused = count("run.refused");
        LogLine end = own.get(own.size() - 1);
        return "summary: "
                + starts
                + " starts of "
                + tasks
                + " tasks, "
                + lost
                + " runs lost, "
                + refused
                + " starts refused; last "
                + end.event()
                + " after "
                + (end.unixMillis() - first)
                + " ms";
    }

    /**
     * Counts the events of a kind.
     *
     * @param event the kind
     * @return the number
     */
    private long count(String event) {
        return own.stream().filter(line -> line.event().equals(event)).count();
    }
}
