package org.damasktiller.lab.load;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.RunAudit;

/** Compares what callers were told with what the workers ran. */
public final class PromiseCheck {

    /** The callers. */
    private final CallerLoad load;

    /** What the workers ran. */
    private final RunAudit audit;

    /** What callers have submitted. */
    private final SubmittedWork work;

    /**
     * Creates a check.
     *
     * @param load the callers
     * @param audit what the workers ran
     * @param work what callers have submitted
     */
    public PromiseCheck(CallerLoad load, RunAudit audit, SubmittedWork work) {
        this.load = load;
        this.audit = audit;
        this.work = work;
    }

    /**
     * Returns what must hold at every moment and does not.
     *
     * @return a line for each violation
     */
    public List<String> violations() {
        List<String> found = new ArrayList<>(audit.violations());
        found.addAll(load.violations());
        work.strangers().forEach(task -> found.add(task + ": started and never submitted"));
        for (WorkItem item : load.items()) {
            String id = item.submission().id();
            if (item.refused() && starts(item) > 0) {
                found.add(id + ": started though each try was refused");
            }
            if (item.state() == SubmissionState.SUCCEEDED && !allDone(item)) {
                found.add(id + ": shown as succeeded before its tasks were done");
            }
            int attempts = item.route().maximumAttempts();
            if (item.state() == SubmissionState.FAILED
                    && audit.mostFailures(tasks(item)) < attempts) {
                found.add(id + ": shown as failed before its attempts were used up");
            }
            if (item.state() == SubmissionState.CANCELLED && !item.cancelAsked()) {
                found.add(id + ": shown as cancelled without being asked");
            }
        }
        return found;
    }

    /**
     * Returns what must hold once faults are over and work has had time to finish, and does not.
     *
     * @return a line for each violation
     */
    public List<String> unfinished() {
        List<String> found = new ArrayList<>();
        for (WorkItem item : load.items()) {
            String id = item.submission().id();
            if (item.accepted() && item.cancelAsked() && active(item) > 0) {
                found.add(id + ": runs on after its cancelling");
            } else if (item.accepted()
                    && !item.cancelAsked()
                    && item.submission().hasLongRunningStep()) {
                if (active(item) < tasks(item).size()) {
                    found.add(id + ": lasting tasks are not at work");
                }
            } else if (item.accepted() && !item.settled()) {
                found.add(id + ": accepted and not finished, last state " + item.state());
            }
        }
        return found;
    }

    /**
     * Returns the tasks of a submission.
     *
     * @param item the submission
     * @return the tasks
     */
    private static List<TaskId> tasks(WorkItem item) {
        List<TaskId> tasks = new ArrayList<>();
        for (int step = 0; step < item.submission().steps().size(); step++) {
            for (int task = 0; task < item.submission().steps().get(step).count(); task++) {
                tasks.add(new TaskId(item.submission().id(), 0, step, task));
            }
        }
        return tasks;
    }

    /**
     * Counts the starts of a submission's tasks.
     *
     * @param item the submission
     * @return the number
     */
    private int starts(WorkItem item) {
        return tasks(item).stream().mapToInt(audit::starts).sum();
    }

    /**
     * Counts the active runs of a submission's tasks.
     *
     * @param item the submission
     * @return the number
     */
    private int active(WorkItem item) {
        return tasks(item).stream().mapToInt(audit::active).sum();
    }

    /**
     * Tells whether every task of a submission has ended as done.
     *
     * @param item the submission
     * @return whether each has
     */
    private boolean allDone(WorkItem item) {
        return audit.done().containsAll(tasks(item));
    }
}
