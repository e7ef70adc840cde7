package org.damasktiller.authority.cell;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
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

    /** The hash by which the key of a job picks workers. */
    private static final HashFunction HASH = Hashing.murmur3_128();

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
        return fitting.or(() -> lessLoadedOfTwo(submission, able)).map(WorkerView::worker);
    }

    /**
     * Chooses the less loaded of two workers that the key of the job picks. Taking always the least
     * loaded of all would deal jobs that come in a fixed order out by kind, so that a worker had
     * jobs of one kind only and the weights of the kinds could not act on it.
     *
     * @param submission the job
     * @param able the workers whose capacity fits the job
     * @return the worker, or empty if there is none
     */
    private static Optional<WorkerView> lessLoadedOfTwo(
            JobSubmission submission, List<WorkerView> able) {
        if (able.isEmpty()) {
            return Optional.empty();
        }
        String key = submission.tenant().value() + '\n' + submission.key().value();
        long hash = HASH.hashString(key, StandardCharsets.UTF_8).asLong();
        WorkerView first = able.get((int) Math.floorMod(hash, (long) able.size()));
        WorkerView second =
                able.get((int) Math.floorMod(hash >>> Integer.SIZE, (long) able.size()));
        return Optional.of(load(first) <= load(second) ? first : second);
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
