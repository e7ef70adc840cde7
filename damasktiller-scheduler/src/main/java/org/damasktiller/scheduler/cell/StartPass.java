package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;

/**
 * Starts what waits and has room. Load pattern: more work than room; tasks that serve come back
 * first, then urgent work, then new lasting tasks, then fillers. Within each, work that can be on
 * time comes before work that is late, and the least work left first, so that as many submissions
 * as possible are on time when not all can be.
 */
final class StartPass {

    /** The rank of a lasting task that has run before. */
    private static final int RANK_RESTART = 0;

    /** The rank of urgent work. */
    private static final int RANK_URGENT = 1;

    /** The rank of a new lasting task. */
    private static final int RANK_LASTING = 2;

    /** The rank of fillers. */
    private static final int RANK_FILLING = 3;

    /** The lateness of work that can be on time. */
    private static final int ON_TIME = 0;

    /** The lateness of work that will be late. */
    private static final int LATE = 1;

    /** The lateness of work that comes too late to be of use. */
    private static final int TOO_LATE = 2;

    /** How many times the objective late work may take to be of use, from the platform's pages. */
    private static final int LATE_FACTOR = 3;

    /** How many starts one pass orders at most, so that a pass stays short. */
    private static final int MOST_STARTS = 64;

    /** The shared part. */
    private final CellContext context;

    /** Chooses workers. */
    private final Placement placement;

    /** Sends the orders. */
    private final RunOrders orders;

    /** The expected run times. */
    private final RunTimes runTimes;

    /** Has the tickets of queues that need them. */
    private final AdviceTicketProvider advice;

    /** Tells what is known to belong to this term. */
    private final OwnershipVerifier ownership;

    /** How many starts this pass has ordered. */
    private int started;

    /**
     * Creates a pass.
     *
     * @param context the shared part
     * @param placement chooses workers
     * @param orders sends the orders
     * @param runTimes the expected run times
     * @param advice has the tickets of queues that need them
     * @param ownership tells what is known to belong to this term
     */
    StartPass(
            CellContext context,
            Placement placement,
            RunOrders orders,
            RunTimes runTimes,
            AdviceTicketProvider advice,
            OwnershipVerifier ownership) {
        this.context = context;
        this.placement = placement;
        this.orders = orders;
        this.runTimes = runTimes;
        this.advice = advice;
        this.ownership = ownership;
    }

    /** Starts what waits and has room. */
    void run() {
        started = 0;
        List<Waiting> steps = new ArrayList<>();
        long unixLimit = context.runtime.unixMillis() + context.settings.earlyStartMillis();
        for (Job job : context.jobs.values()) {
            if (!mayStart(job)) {
                continue;
            }
            job.beginDue(unixLimit);
            for (OccurrenceRecord occurrence : job.occurrences.values()) {
                collect(occurrence, steps);
            }
        }
        steps.sort(Waiting.ORDER);
        for (Waiting waiting : steps) {
            if (started >= MOST_STARTS) {
                return;
            }
            if (waiting.step.spec.gang()) {
                startGang(waiting.step);
            } else {
                startTasks(waiting.step);
            }
        }
    }

    /**
     * Tells whether tasks of a job may be started: the job is open, known to belong to this term,
     * and no former owner can have left a run that is not known.
     *
     * @param job the job
     * @return whether they may
     */
    private boolean mayStart(Job job) {
        if (job.state.isFinal() || !ownership.covers(job.createdRevision)) {
            return false;
        }
        return context.previousOwnersFenced || job.createdRevision > context.term.headRevision();
    }

    /**
     * Collects the steps of an occurrence that wait for workers.
     *
     * @param occurrence the occurrence
     * @param steps the list to add to
     */
    private void collect(OccurrenceRecord occurrence, List<Waiting> steps) {
        long now = context.now();
        for (StepRecord step : occurrence.steps) {
            if (step.done() || !step.unblocked()) {
                continue;
            }
            boolean waits = false;
            boolean hasRun = false;
            for (TaskRecord task : step.tasks) {
                if (task.waiting(now)) {
                    waits = true;
                    hasRun |= task.everRan;
                    if (task.readySinceMillis == 0) {
                        task.readySinceMillis = now;
                    }
                }
            }
            if (waits) {
                steps.add(describe(step, hasRun));
            }
        }
    }

    /**
     * Describes a waiting step for the order.
     *
     * @param step the step
     * @param hasRun whether a waiting task has run before
     * @return the description
     */
    private Waiting describe(StepRecord step, boolean hasRun) {
        StepSpec spec = step.spec;
        Job job = step.occurrence.job;
        int rank = RANK_URGENT;
        if (spec.lasting()) {
            rank = hasRun ? RANK_RESTART : RANK_LASTING;
        } else if (spec.filling()) {
            rank = RANK_FILLING;
        }
        Route route = context.manifest.byName(job.accepted.route());
        double extension = route == null ? 1 : route.extension();
        long slack = route == null ? 0 : route.targetLatencyMillis();
        int priority = route == null ? 0 : route.priority();
        long chain = remaining(step);
        long objective = (long) (extension * chainOf(job)) + slack;
        long latest = context.now() + chain - job.seenMillis;
        int lateness = latest <= objective ? ON_TIME : LATE;
        if (latest > LATE_FACTOR * objective) {
            lateness = TOO_LATE;
        }
        return new Waiting(step, rank, lateness, priority, openWork(step));
    }

    /**
     * Estimates the work that is left of an occurrence from one step on.
     *
     * @param step the step
     * @return the work, in millicores times milliseconds
     */
    private double openWork(StepRecord step) {
        double work = 0;
        for (StepRecord later : step.occurrence.steps) {
            if (later.number >= step.number) {
                double cpu = later.spec.need().cpuMillicores();
                int open = later.tasks.size() - later.doneCount;
                work += open * cpu * runTimes.expectedMillis(later.spec);
            }
        }
        return work;
    }

    /**
     * Estimates the time that the longest chain of a job takes.
     *
     * @param job the job
     * @return the time, in milliseconds
     */
    private long chainOf(Job job) {
        long chain = 0;
        for (StepSpec spec : job.accepted.submission().steps()) {
            chain += runTimes.expectedMillis(spec);
        }
        return chain;
    }

    /**
     * Estimates the time that the steps from one on take.
     *
     * @param step the step
     * @return the time, in milliseconds
     */
    private long remaining(StepRecord step) {
        long chain = 0;
        for (StepRecord later : step.occurrence.steps) {
            if (later.number >= step.number) {
                chain += runTimes.expectedMillis(later.spec);
            }
        }
        return chain;
    }

    /**
     * Starts the waiting tasks of a step while there is room.
     *
     * @param step the step
     */
    private void startTasks(StepRecord step) {
        long now = context.now();
        for (TaskRecord task : step.tasks) {
            if (!task.waiting(now)) {
                continue;
            }
            WorkerRecord worker = placement.choose(task);
            if (worker == null) {
                askFor(step);
                return;
            }
            orders.start(task, worker, nextRun(task.lastRun), advice.usableTicket(step, worker));
            started++;
        }
    }

    /**
     * Starts all members of a gang at once if there is room for all.
     *
     * @param step the step
     */
    private void startGang(StepRecord step) {
        long now = context.now();
        int lastRun = 0;
        for (TaskRecord task : step.tasks) {
            if (!task.waiting(now)) {
                return;
            }
            lastRun = Math.max(lastRun, task.lastRun);
        }
        List<WorkerRecord> workers = placement.chooseGang(step);
        if (workers.isEmpty()) {
            askFor(step);
            return;
        }
        int run = nextRun(lastRun);
        for (int index = 0; index < workers.size(); index++) {
            WorkerRecord worker = workers.get(index);
            orders.start(step.tasks.get(index), worker, run, advice.usableTicket(step, worker));
            started++;
        }
    }

    /**
     * Asks for tickets if a step needs them.
     *
     * @param step the step, for which no worker was found
     */
    private void askFor(StepRecord step) {
        if (advice.isRequired(step)) {
            advice.request(step);
        }
    }

    /**
     * Numbers the next run of a task.
     *
     * @param lastRun the highest run known
     * @return the number
     */
    private int nextRun(int lastRun) {
        return Math.max(lastRun, context.term.runNumberBase()) + 1;
    }

    /**
     * A step that waits.
     *
     * @param step the step
     * @param rank its rank among kinds of work
     * @param lateness whether it can be on time, late, or too late to be of use
     * @param priority the priority of its route
     * @param work the work that is left of it
     */
    private record Waiting(StepRecord step, int rank, int lateness, int priority, double work) {

        /** The order in which steps get room. */
        static final Comparator<Waiting> ORDER =
                Comparator.comparingInt(Waiting::rank)
                        .thenComparingInt(Waiting::lateness)
                        .thenComparingInt(Waiting::priority)
                        .thenComparingDouble(Waiting::work);
    }
}
