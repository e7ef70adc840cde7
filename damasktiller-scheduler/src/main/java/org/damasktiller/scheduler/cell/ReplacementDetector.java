package org.damasktiller.scheduler.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Detects workers at whose address another one answers. Only one process at a time can listen at an
 * address, so that the process of the former worker is gone.
 */
final class ReplacementDetector {

    /** The workers of the cell. */
    private final Collection<WorkerRecord> workers;

    /** For each address the worker that answered there last, or null before the first look-up. */
    private @Nullable Map<String, WorkerRecord> lastAnswered;

    /**
     * Creates a detector that looks at the workers once, at its first look-up.
     *
     * @param workers the workers of the cell
     */
    ReplacementDetector(Collection<WorkerRecord> workers) {
        this.workers = workers;
    }

    /**
     * Returns the worker that answers at the address of another one.
     *
     * @param worker the other one
     * @return the worker, or null if that is not known of any
     */
    @Nullable WorkerRecord replacementOf(WorkerRecord worker) {
        String address = worker.answeredAddress;
        WorkerRecord last = address == null ? null : lastAnsweredAt(address);
        return last != null && last.hasReplaced(worker) ? last : null;
    }

    /**
     * Returns the worker that answered last at an address.
     *
     * @param address the address
     * @return the worker, which has answered this owner, or null if none has
     */
    @Nullable WorkerRecord lastAnsweredAt(String address) {
        Map<String, WorkerRecord> byAddress = lastAnswered;
        if (byAddress == null) {
            byAddress = new HashMap<>();
            for (WorkerRecord worker : workers) {
                String answeredAddress = worker.answeredAddress;
                if (worker.fenced && answeredAddress != null) {
                    byAddress.merge(answeredAddress, worker, ReplacementDetector::later);
                }
            }
            lastAnswered = byAddress;
        }
        return byAddress.get(address);
    }

    /**
     * Returns which of two workers answered last.
     *
     * @param one a worker that has answered
     * @param other another one
     * @return the one that answered the poll that was sent later
     */
    private static WorkerRecord later(WorkerRecord one, WorkerRecord other) {
        return one.answeredPollSentAtMillis > other.answeredPollSentAtMillis ? one : other;
    }
}
