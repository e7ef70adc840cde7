package org.damasktiller.scheduler.cell;

/**
 * Drops the records of tasks that have ended, and logs how many occurrences and tasks the
 * submissions of a cell have, how many of the tasks have records, and what the passes have done.
 */
final class TaskRecordKeeper {

    /** The time between two removals, in milliseconds. */
    private static final long RELEASE_INTERVAL_MILLIS = 500;

    /** The time between two lines of the log, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 5_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /**
     * Creates a keeper that has not started.
     *
     * @param context the shared state of the cell's owner
     */
    TaskRecordKeeper(CellContext context) {
        this.context = context;
    }

    /** Drops records and logs the counts from now on at intervals. */
    void start() {
        context.repeat(RELEASE_INTERVAL_MILLIS, "task records", this::release);
        context.repeat(REPORT_INTERVAL_MILLIS, "task counts", this::report);
    }

    /** Drops the records of tasks that have ended. */
    private void release() {
        context.jobs.values().forEach(Job::releaseEnded);
    }

    /** Logs the counts, those of tasks only if a submission is open. */
    private void report() {
        context.workCounters.report(context);
        if (context.jobs.isEmpty() && context.unloaded.count() == 0) {
            return;
        }
        long occurrences = 0;
        long tasks = 0;
        long done = 0;
        long records = 0;
        for (Job job : context.jobs.values()) {
            occurrences += job.occurrences.size();
            for (OccurrenceRecord occurrence : job.occurrences.values()) {
                for (StepRecord step : occurrence.steps) {
                    tasks += step.count();
                    done += step.doneCount;
                    records += step.records.recordCount();
                }
            }
        }
        context.log.log(
                "owner.tasks",
                "cell",
                context.cell,
                "submissions",
                context.jobs.size(),
                "occurrences",
                occurrences,
                "tasks",
                tasks,
                "done",
                done,
                "records",
                records,
                "bytes",
                context.openWork.bytes(),
                "unloaded",
                context.unloaded.count(),
                "bound",
                context.settings.openWorkBytes());
    }
}
