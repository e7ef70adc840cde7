package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * Chooses workers for tasks. Load patterns: tasks of unlike sizes in scattered holes, steps that
 * must spread, data on one rack, fillers that share what serving tasks leave unused.
 */
final class Placement {

    /** How many orders to one worker may be on their way at once: connections are priced. */
    private static final int MOST_ORDERS = 6;

    /** The part of a worker's processors that new lasting tasks leave free for urgent tasks. */
    private static final double HOLE_SHARE = 0.06;

    /** The part of the processors that a serving task asks for and uses on average. */
    private static final double SERVING_USE = 0.35;

    /** The weight of an earlier failure of the same task at a worker. */
    private static final double FAILED_HERE = 1_000;

    /** The weight of a worker on which tasks get on slowly, beside the other parts. */
    private static final double SLOW_WORKER = 2;

    /** The weight of the time that data on another rack costs, beside the other parts. */
    private static final double REMOTE_DATA = 10;

    /** The score of a worker that is not chosen. */
    private static final double WORST_SCORE = Double.MAX_VALUE;

    /** The weight of the load of fillers beside the harm they do. */
    private static final double LOAD_WEIGHT = 0.3;

    /** The weight of the processors left over, so that workers fill up one after the other. */
    private static final double LEFT_WEIGHT = 0.2;

    /** The score of a worker without serving tasks: worse than one of the same image. */
    private static final double EMPTY_SCORE = 0.3;

    /** The harm that a filler may do at once, in serving tasks over their target. */
    private static final double FIRST_HARM = 0.2;

    /** What a filler may do more for each second that it waits, in tasks. */
    private static final double HARM_PER_SECOND = 0.15;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The shared part. */
    private final CellContext context;

    /** Predicts the harm of fillers. */
    private final FillerControl fillers;

    /** Has the tickets of queues that need them. */
    private final AdviceTicketProvider advice;

    /**
     * Creates the choice.
     *
     * @param context the shared part
     * @param fillers predicts the harm of fillers
     * @param advice has the tickets of queues that need them
     */
    Placement(CellContext context, FillerControl fillers, AdviceTicketProvider advice) {
        this.context = context;
        this.advice = advice;
        this.fillers = fillers;
    }

    /**
     * Chooses a worker for a task.
     *
     * @param task the task
     * @return the worker, or null if none has room
     */
    @Nullable WorkerRecord choose(TaskRecord task) {
        WorkerRecord best = null;
        double bestScore = WORST_SCORE;
        boolean adviceNeeded = advice.isRequired(task.step);
        for (WorkerRecord worker : context.allWorkers()) {
            if (!allowed(task, worker, adviceNeeded)
                    || !worker.free().covers(task.step.spec.reserved())) {
                continue;
            }
            double score = score(task, worker);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * Chooses workers for all members of a gang at once.
     *
     * @param step the step
     * @return a worker for each member in order, or an empty list if there is no room for all
     */
    List<WorkerRecord> chooseGang(StepRecord step) {
        if (step.spec.sameRack()) {
            for (String rack : racks()) {
                List<WorkerRecord> chosen = fill(step, rack);
                if (!chosen.isEmpty()) {
                    return chosen;
                }
            }
        }
        return fill(step, "");
    }

    /**
     * Places the members of a gang one by one.
     *
     * @param step the step
     * @param rack the rack to keep to, empty for any
     * @return a worker for each member, or an empty list
     */
    private List<WorkerRecord> fill(StepRecord step, String rack) {
        Map<WorkerRecord, Integer> taken = new HashMap<>();
        List<WorkerRecord> chosen = new ArrayList<>();
        List<WorkerRecord> order = new ArrayList<>(context.allWorkers());
        order.sort(Comparator.comparingLong(worker -> -worker.free().cpuMillicores()));
        Resources need = step.spec.reserved();
        boolean adviceNeeded = advice.isRequired(step);
        for (TaskRecord task : step.tasks) {
            for (WorkerRecord worker : order) {
                int here = taken.getOrDefault(worker, 0);
                boolean spread =
                        step.spec.maximumPerWorker() == 0 || here < step.spec.maximumPerWorker();
                boolean onRack = rack.isEmpty() || worker.entry.labels().contains(rack);
                if (spread
                        && onRack
                        && allowed(task, worker, adviceNeeded)
                        && worker.free().covers(times(need, here + 1))) {
                    taken.merge(worker, 1, Integer::sum);
                    chosen.add(worker);
                    break;
                }
            }
        }
        return chosen.size() == step.tasks.size() ? chosen : List.of();
    }

    /**
     * Returns the labels that may be racks.
     *
     * @return the labels of all workers
     */
    private Set<String> racks() {
        Set<String> racks = new TreeSet<>();
        context.allWorkers().forEach(worker -> racks.addAll(worker.entry.labels()));
        return racks;
    }

    /**
     * Multiplies an amount.
     *
     * @param need the amount
     * @param count the factor
     * @return the product
     */
    private static Resources times(Resources need, int count) {
        return new Resources(
                need.cpuMillicores() * count, need.memoryMb() * count, need.accelerators() * count);
    }

    /**
     * Tells whether a task may go to a worker, its room aside.
     *
     * @param task the task
     * @param worker the worker
     * @param adviceNeeded whether only advised workers may run it
     * @return whether it may
     */
    private boolean allowed(TaskRecord task, WorkerRecord worker, boolean adviceNeeded) {
        long now = context.now();
        StepSpec spec = task.step.spec;
        boolean busy =
                now < worker.fullUntilMillis
                        || worker.ordersInFlight >= MOST_ORDERS
                        || worker.conduct.suspect(now);
        if (!worker.usable(now) || busy || !labelled(spec, worker)) {
            return false;
        }
        if (worker.conduct.onProbation() && !worker.runs.isEmpty()) {
            return false;
        }
        boolean advised = !adviceNeeded || !advice.usableTicket(task.step, worker).isEmpty();
        return advised && spread(task.step, worker) && roomBeside(task, worker);
    }

    /**
     * Tells whether a worker has the label that a step needs.
     *
     * @param spec the step
     * @param worker the worker
     * @return whether it has
     */
    private static boolean labelled(StepSpec spec, WorkerRecord worker) {
        return spec.requiredLabel().isEmpty()
                || worker.entry.labels().contains(spec.requiredLabel());
    }

    /**
     * Tells whether one more task of a step may run on a worker.
     *
     * @param step the step
     * @param worker the worker
     * @return whether it may
     */
    private static boolean spread(StepRecord step, WorkerRecord worker) {
        int most = step.spec.maximumPerWorker();
        if (most == 0) {
            return true;
        }
        int here = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.id.submission().equals(step.occurrence.job.id())
                    && run.id.occurrence() == step.occurrence.number
                    && run.id.step() == step.number) {
                here++;
            }
        }
        return here < most;
    }

    /**
     * Tells whether a worker has processors for a task beside what must be left to others.
     *
     * @param task the task
     * @param worker the worker
     * @return whether it has
     */
    private boolean roomBeside(TaskRecord task, WorkerRecord worker) {
        StepSpec spec = task.step.spec;
        long capacity = worker.entry.capacity().cpuMillicores();
        if (spec.filling()) {
            return !worker.harm.paused
                    && fillerLoad(worker) + spec.need().cpuMillicores() <= unused(worker);
        }
        if (spec.lasting() && !task.everRan) {
            long left = worker.free().cpuMillicores() - spec.need().cpuMillicores();
            return left >= capacity * HOLE_SHARE;
        }
        return true;
    }

    /**
     * Returns the processors that the fillers of a worker ask for.
     *
     * @param worker the worker
     * @return the processors, in millicores
     */
    private static long fillerLoad(WorkerRecord worker) {
        long load = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.filling() && run.task != null) {
                load += run.task.step.spec.need().cpuMillicores();
            }
        }
        return load;
    }

    /**
     * Estimates the processors that the other tasks of a worker leave unused.
     *
     * @param worker the worker
     * @return the processors, in millicores
     */
    private static long unused(WorkerRecord worker) {
        long used = 0;
        for (RunRecord run : worker.runs.values()) {
            long reserved = run.reserved.cpuMillicores();
            used += run.serving() ? (long) (reserved * SERVING_USE) : reserved;
        }
        return worker.entry.capacity().cpuMillicores() - used;
    }

    /**
     * Returns the harm that a filler may do: more, the longer it waits, so that each pair is tried
     * some time and the factors stay fresh.
     *
     * @param task the filler
     * @return the number of serving tasks over their target
     */
    private double bearable(TaskRecord task) {
        long waited = task.readySinceMillis == 0 ? 0 : context.now() - task.readySinceMillis;
        return FIRST_HARM + HARM_PER_SECOND * waited / MILLIS_PER_SECOND;
    }

    /**
     * Tells how badly a serving task goes with those of a worker: tasks of one image bear the same
     * fillers, so that a worker of one image has fillers that do no harm there.
     *
     * @param worker the worker
     * @param image the image of the task
     * @return the part of the worker's serving tasks that have another image
     */
    private static double strangers(WorkerRecord worker, String image) {
        int serving = 0;
        int others = 0;
        for (RunRecord run : worker.runs.values()) {
            if (run.serving() && run.task != null) {
                serving++;
                others += run.task.step.spec.image().equals(image) ? 0 : 1;
            }
        }
        return serving == 0 ? EMPTY_SCORE : (double) others / serving;
    }

    /**
     * Scores a worker for a task; the lowest score is chosen.
     *
     * @param task the task
     * @param worker the worker
     * @return the score
     */
    private double score(TaskRecord task, WorkerRecord worker) {
        StepSpec spec = task.step.spec;
        double capacity = Math.max(1, worker.entry.capacity().cpuMillicores());
        double score = task.failedAt.contains(worker.id) ? FAILED_HERE : 0;
        boolean remote =
                !spec.dataRack().isEmpty() && !worker.entry.labels().contains(spec.dataRack());
        if (remote) {
            score += REMOTE_DATA * (context.settings.remoteFactor() - 1);
        }
        if (context.now() < worker.slowUntilMillis) {
            score += SLOW_WORKER;
        }
        if (spec.filling()) {
            double load = (double) fillerLoad(worker) / Math.max(1, unused(worker));
            double harm = fillers.harm(worker, spec);
            return harm > bearable(task) ? WORST_SCORE : score + harm + LOAD_WEIGHT * load;
        }
        if (spec.lasting()) {
            double left = worker.free().cpuMillicores() / capacity;
            return score + strangers(worker, spec.image()) + LEFT_WEIGHT * left;
        }
        return score + worker.free().cpuMillicores() / capacity;
    }
}
