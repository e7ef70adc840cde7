package org.damasktiller.standin.client.store;

import java.util.List;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapResult;

/**
 * Answers a call to the key-value service as it is sent; what the call does not ask for is empty.
 *
 * @param values the values read
 * @param swap the result of a write, empty or one
 * @param leaseId the lease granted, or zero
 * @param leaseStands whether the lease renewed still stood
 */
public record StoreReply(
        List<StoredValue> values, List<SwapResult> swap, long leaseId, boolean leaseStands) {

    /**
     * Makes the answer of a read.
     *
     * @param values the values read
     * @return the answer
     */
    public static StoreReply ofValues(List<StoredValue> values) {
        return new StoreReply(values, List.of(), 0, false);
    }

    /**
     * Makes the answer of a write.
     *
     * @param result the result
     * @return the answer
     */
    public static StoreReply ofSwap(SwapResult result) {
        return new StoreReply(List.of(), List.of(result), 0, false);
    }

    /**
     * Makes the answer of a call about a lease.
     *
     * @param leaseId the lease granted, or zero
     * @param stands whether the lease still stood
     * @return the answer
     */
    public static StoreReply ofLease(long leaseId, boolean stands) {
        return new StoreReply(List.of(), List.of(), leaseId, stands);
    }
}
