package org.damasktiller.lab.explain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the log lines that explain the course of one submission: those that refer to it or to its
 * tasks, and, between the first and the last of these, the events of the workers that ran its tasks
 * and the ownership and store events of the entry VMs that handled it.
 */
public final class Timeline {

    /** The events of a worker that can explain the end or the delay of a run. */
    private static final Set<String> WORKER_EVENTS =
            Set.of(
                    "worker.unlisted",
                    "worker.draining",
                    "worker.restarted",
                    "worker.suspect",
                    "worker.gone",
                    "filler.pause");

    /** The events of an entry VM that can explain a delay of the cells that it owns. */
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

    /** The field with the identifier of a worker. */
    private static final String WORKER = "worker";

    /** The identifier of the submission. */
    private final String id;

    /** The lines that refer to the submission or its tasks, in the order of their times. */
    private final List<LogLine> own = new ArrayList<>();

    /** The lines of the timeline, in the order of their times. */
    private final List<LogLine> told = new ArrayList<>();

    /**
     * Creates the timeline of a submission.
     *
     * @param id the identifier of the submission
     * @param logs the lines of all logs
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
     * Returns whether the logs have no line about the submission.
     *
     * @return whether no line refers to it
     */
    public boolean isEmpty() {
        return own.isEmpty();
    }

    /**
     * Formats the timeline.
     *
     * @return one line per event with the time since the first one, and a summary as the last line;
     *     only a notice if no line refers to the submission
     */
    public List<String> lines() {
        if (own.isEmpty()) {
            return List.of("no line of these logs refers to submission " + id);
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
     * Returns whether a line refers to the submission or one of its tasks.
     *
     * @param line the line
     * @return whether it does
     */
    private boolean names(LogLine line) {
        return line.field("id").equals(id) || line.field("task").startsWith(id + '.');
    }

    /**
     * Summarizes the runs of the submission and its last event.
     *
     * @param first the time of its first line, in milliseconds since 1970
     * @return the summary, one line
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
     * Counts the lines of the submission that report an event.
     *
     * @param event the name of the event
     * @return the number of lines
     */
    private long count(String event) {
        return own.stream().filter(line -> line.event().equals(event)).count();
    }
}
