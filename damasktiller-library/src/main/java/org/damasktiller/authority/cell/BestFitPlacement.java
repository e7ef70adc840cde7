package org.damasktiller.authority.cell;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/**
 * Prefers the fullest worker on which the job fits beside everything bound there, and otherwise the
 * worker with the least bound in relation to its capacity.
 */
public final class BestFitPlacement implements Placement {

    /** Creates the placement. */
    public BestFitPlacement() {}

    @Override
    public Optional<WorkerId> choose(JobSubmission submission, List<WorkerView> workers) {
        Resources wanted = submission.task().resources();
        List<WorkerView> able =
                workers.stream().filter(view -> wanted.fitsWithin(view.capacity())).toList();
        Optional<WorkerView> fitting =
                able.stream()
                        .filter(view -> view.bound().plus(wanted).fitsWithin(view.capacity()))
                        .max(Comparator.comparingDouble(BestFitPlacement::load));
        return fitting.or(
                        () -> able.stream().min(Comparator.comparingDouble(BestFitPlacement::load)))
                .map(WorkerView::worker);
    }

    /**
     * Returns how much is bound to a worker in relation to its capacity.
     *
     * @param view the worker
     * @return the largest ratio over the resources
     */
    private static double load(WorkerView view) {
        Resources bound = view.bound();
        Resources capacity = view.capacity();
        double processors = ratio(bound.milliProcessors(), capacity.milliProcessors());
        double memory = ratio(bound.memoryMegabytes(), capacity.memoryMegabytes());
        double accelerators = ratio(bound.accelerators(), capacity.accelerators());
        return Math.max(processors, Math.max(memory, accelerators));
    }

    /**
     * Divides an amount by a capacity.
     *
     * @param amount the amount
     * @param capacity the capacity
     * @return the ratio, zero if there is no capacity
     */
    private static double ratio(long amount, long capacity) {
        return capacity == 0 ? 0 : (double) amount / capacity;
    }
}
