package org.damasktiller.scheduler.port;

import org.damasktiller.scheduler.model.WorkerEntry;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of decoding the entry of a worker, which any client of the store may have written.
 *
 * @param entry the entry, or null if it names no worker to use
 * @param field the field that is not usable, empty if the entry is or if it is none of the fields
 * @param reason why it is not usable, empty if it is
 */
public record DecodedWorker(@Nullable WorkerEntry entry, String field, String reason) {

    /**
     * Creates the outcome for a usable entry.
     *
     * @param entry the entry
     * @return the outcome
     */
    public static DecodedWorker of(WorkerEntry entry) {
        return new DecodedWorker(entry, "", "");
    }

    /**
     * Creates the outcome for an entry that names no worker to use.
     *
     * @param field the field that is not usable, empty if it is none of the fields
     * @param reason why it is not usable
     * @return the outcome
     */
    public static DecodedWorker unusable(String field, String reason) {
        return new DecodedWorker(null, field, reason);
    }
}
