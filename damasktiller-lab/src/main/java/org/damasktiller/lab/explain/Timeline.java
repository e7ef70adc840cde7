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
                    "owner.awaiting",
                    "owner.expired",
                    "owner.settled",
                    "owner.unproven",
                    "owner.ended",
                    "owner.resigned",
                    "zone.evacuated",
                    "zone.returned",
                    "evacuation.unknown",
                    "evacuation.known",
                    "store.lost",
                    "store.regained",
                    "process.start",
                    "process.stop");

    /** The field with the identifier of a worker. */
    private static final String WORKER_FIELD = "worker";

    /** The identifier of the submission. */
    private final String id;

    /** The lines that refer to the submission or its tasks, in the order of their times. */
    private final List<LogLine> submissionLines = new ArrayList<>();

    /** The lines of the timeline, in the order of their times. */
    private final List<LogLine> timelineLines = new ArrayList<>();

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
            if (refersToSubmission(line)) {
                submissionLines.add(line);
                workers.add(line.field(WORKER_FIELD));
                nodes.add(line.node());
            }
        }
        workers.remove("");
        if (submissionLines.isEmpty()) {
            return;
        }
        long firstMillis = submissionLines.get(0).unixMillis();
        long lastMillis = submissionLines.get(submissionLines.size() - 1).unixMillis();
        for (LogLine line : logs.lines()) {
            boolean duringSubmission =
                    line.unixMillis() >= firstMillis && line.unixMillis() <= lastMillis;
            boolean isWorkerEvent =
                    WORKER_EVENTS.contains(line.event())
                            && workers.contains(line.field(WORKER_FIELD));
            boolean isOwnerEvent =
                    OWNER_EVENTS.contains(line.event()) && nodes.contains(line.node());
            if (refersToSubmission(line) || (duringSubmission && (isWorkerEvent || isOwnerEvent))) {
                timelineLines.add(line);
            }
        }
    }

    /**
     * Returns whether the logs have no line about the submission.
     *
     * @return whether no line refers to it
     */
    public boolean isEmpty() {
        return submissionLines.isEmpty();
    }

    /**
     * Formats the timeline.
     *
     * @return one line per event with the time since the first one, and a summary as the last line;
     *     only a notice if no line refers to the submission
     */
    public List<String> lines() {
        if (submissionLines.isEmpty()) {
            return List.of("no line of these logs refers to submission " + id);
        }
        long firstMillis = submissionLines.get(0).unixMillis();
        List<String> lines = new ArrayList<>();
        for (LogLine line : timelineLines) {
            lines.add(
                    String.format(
                            "%8d ms  %-24s %-22s %s",
                            line.unixMillis() - firstMillis,
                            line.node(),
                            line.event(),
                            line.fields()));
        }
        lines.add(summarize(firstMillis));
        return lines;
    }

    /**
     * Returns whether a line refers to the submission or one of its steps or tasks.
     *
     * @param line the line
     * @return whether it does
     */
    private boolean refersToSubmission(LogLine line) {
        return line.field("id").equals(id)
                || line.field("task").startsWith(id + '.')
                || line.field("step").startsWith(id + '.');
    }

    /**
     * Summarizes the runs of the submission and its last event.
     *
     * @param firstMillis the time of its first line, in milliseconds since 1970
     * @return the summary, one line
     */
    private String summarize(long firstMillis) {
        long starts = countEvents("run.start");
        long startedTasks =
                submissionLines.stream()
                        .filter(line -> line.event().equals("run.start"))
                        .map(line -> line.field("task"))
                        .distinct()
                        .count();
        long lostRuns = countEvents("run.lost");
        long refusedStarts = countEvents("run.refused");
        LogLine lastLine = submissionLines.get(submissionLines.size() - 1);
        return "summary: "
                + starts
                + " starts of "
                + startedTasks
                + " tasks, "
                + lostRuns
                + " runs lost, "
                + refusedStarts
                + " starts refused; last "
                + lastLine.event()
                + " after "
                + (lastLine.unixMillis() - firstMillis)
                + " ms";
    }

    /**
     * Counts the lines of the submission that report an event.
     *
     * @param event the name of the event
     * @return the number of lines
     */
    private long countEvents(String event) {
        return submissionLines.stream().filter(line -> line.event().equals(event)).count();
    }
}
