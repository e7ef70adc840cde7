package org.damasktiller.standin.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the keys and leases of the stand-in key-value service. It does no I/O and takes the time as
 * an argument. Not safe for use by several threads.
 */
public final class StoreState {

    /** The largest value accepted, in bytes. */
    public static final int MAXIMUM_VALUE_BYTES = 1_000_000;

    /** The keys in order. */
    private final TreeMap<String, StoredValue> values = new TreeMap<>();

    /** The leases by number. */
    private final Map<Long, Lease> leases = new HashMap<>();

    /** The revision of the latest write. */
    private long revision;

    /** The number of the latest lease. */
    private long lastLeaseId;

    /** The number of calls that read. */
    private long reads;

    /** The number of calls that write. */
    private long writes;

    /** The bytes written as values. */
    private long bytesWritten;

    /** Creates an empty store. */
    public StoreState() {}

    /**
     * Reads one key.
     *
     * @param key the key
     * @param nowMillis the time, in milliseconds
     * @return the value, or empty if the key is absent
     */
    public Optional<StoredValue> get(String key, long nowMillis) {
        expireLeases(nowMillis);
        reads++;
        return Optional.ofNullable(values.get(key));
    }

    /**
     * Reads all keys with a prefix in order.
     *
     * @param prefix the prefix
     * @param nowMillis the time, in milliseconds
     * @return the values
     */
    public List<StoredValue> list(String prefix, long nowMillis) {
        expireLeases(nowMillis);
        reads++;
        return withPrefix(prefix);
    }

    /**
     * Reads the keys with a prefix written after a revision. A deletion is reported as a value of
     * no bytes only through its absence from {@link #list}.
     *
     * @param prefix the prefix
     * @param afterRevision the revision known to the caller
     * @param nowMillis the time, in milliseconds
     * @return the values written since
     */
    public List<StoredValue> changedSince(String prefix, long afterRevision, long nowMillis) {
        expireLeases(nowMillis);
        return withPrefix(prefix).stream()
                .filter(value -> value.revision() > afterRevision)
                .toList();
    }

    /**
     * Writes one key if it has the expected revision.
     *
     * @param request the write
     * @param nowMillis the time, in milliseconds
     * @return whether it took effect
     * @throws DamasktillerException with code BODY_TOO_LARGE if the value is too large, or
     *     BAD_REQUEST if the lease is not known
     */
    public SwapResult compareAndSwap(SwapRequest request, long nowMillis) {
        expireLeases(nowMillis);
        writes++;
        byte[] bytes = request.value();
        checkSize(bytes);
        StoredValue current = values.get(request.key());
        long currentRevision = current == null ? 0 : current.revision();
        if (currentRevision != request.expectedRevision()) {
            return new SwapResult(false, 0, current);
        }
        bindLease(request);
        revision++;
        if (bytes == null) {
            values.remove(request.key());
            return new SwapResult(true, revision, null);
        }
        bytesWritten += bytes.length;
        values.put(
                request.key(),
                new StoredValue(request.key(), bytes.clone(), revision, request.leaseId()));
        return new SwapResult(true, revision, null);
    }

    /**
     * Grants a lease.
     *
     * @param durationMillis how long it lasts without a renewal, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return the lease's number
     */
    public long grantLease(long durationMillis, long nowMillis) {
        expireLeases(nowMillis);
        writes++;
        lastLeaseId++;
        leases.put(lastLeaseId, new Lease(durationMillis, nowMillis + durationMillis));
        return lastLeaseId;
    }

    /**
     * Renews a lease for its full duration.
     *
     * @param leaseId the lease
     * @param nowMillis the time, in milliseconds
     * @return whether the lease still stood
     */
    public boolean renewLease(long leaseId, long nowMillis) {
        expireLeases(nowMillis);
        writes++;
        Lease lease = leases.get(leaseId);
        if (lease == null) {
            return false;
        }
        lease.expiresAtMillis = nowMillis + lease.durationMillis;
        return true;
    }

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param leaseId the lease
     * @param nowMillis the time, in milliseconds
     */
    public void revokeLease(long leaseId, long nowMillis) {
        expireLeases(nowMillis);
        writes++;
        removeLease(leaseId);
    }

    /**
     * Returns the number of calls that read so far.
     *
     * @return the number of calls
     */
    public long reads() {
        return reads;
    }

    /**
     * Returns the number of calls that write so far, leases included.
     *
     * @return the number of calls
     */
    public long writes() {
        return writes;
    }

    /**
     * Returns the bytes of all values written so far.
     *
     * @return the number of bytes
     */
    public long bytesWritten() {
        return bytesWritten;
    }

    /**
     * Returns the revision of the latest write.
     *
     * @return the revision, or zero if nothing was written
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the values with a prefix in order.
     *
     * @param prefix the prefix
     * @return the values
     */
    private List<StoredValue> withPrefix(String prefix) {
        List<StoredValue> found = new ArrayList<>();
        for (StoredValue value : values.tailMap(prefix, true).values()) {
            if (!value.key().startsWith(prefix)) {
                break;
            }
            found.add(value);
        }
        return found;
    }

    /**
     * Binds a written key to its lease, if it has one.
     *
     * @param request the write
     */
    private void bindLease(SwapRequest request) {
        if (request.leaseId() == 0) {
            return;
        }
        Lease lease = leases.get(request.leaseId());
        if (lease == null) {
            throw new DamasktillerException(
                    ErrorCode.BAD_REQUEST,
                    Step.COMMIT,
                    "store",
                    Outcome.NOT_RUN,
                    "lease " + request.leaseId() + " is not known");
        }
        lease.keys.add(request.key());
    }

    /**
     * Deletes the leases that have lapsed, with their keys.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void expireLeases(long nowMillis) {
        List<Long> lapsed = new ArrayList<>();
        for (Map.Entry<Long, Lease> entry : leases.entrySet()) {
            if (entry.getValue().expiresAtMillis <= nowMillis) {
                lapsed.add(entry.getKey());
            }
        }
        lapsed.forEach(this::removeLease);
    }

    /**
     * Deletes a lease with the keys that are still bound to it.
     *
     * @param leaseId the lease
     */
    private void removeLease(long leaseId) {
        Lease lease = leases.remove(leaseId);
        if (lease == null) {
            return;
        }
        for (String key : lease.keys) {
            StoredValue value = values.get(key);
            if (value != null && value.leaseId() == leaseId) {
                revision++;
                values.remove(key);
            }
        }
    }

    /**
     * Checks that a value is not too large.
     *
     * @param bytes the value, or null for a deletion
     */
    private static void checkSize(byte @Nullable [] bytes) {
        if (bytes != null && bytes.length > MAXIMUM_VALUE_BYTES) {
            throw new DamasktillerException(
                    ErrorCode.BODY_TOO_LARGE,
                    Step.COMMIT,
                    "store",
                    Outcome.NOT_RUN,
                    "value of " + bytes.length + " bytes, allowed " + MAXIMUM_VALUE_BYTES);
        }
    }

    /** A lease with the keys bound to it. */
    private static final class Lease {

        /** How long the lease lasts without a renewal, in milliseconds. */
        private final long durationMillis;

        /** The keys bound to the lease. */
        private final Set<String> keys = new HashSet<>();

        /** When the lease lapses, in milliseconds. */
        private long expiresAtMillis;

        /**
         * Creates a lease.
         *
         * @param durationMillis how long it lasts, in milliseconds
         * @param expiresAtMillis when it lapses, in milliseconds
         */
        private Lease(long durationMillis, long expiresAtMillis) {
            this.durationMillis = durationMillis;
            this.expiresAtMillis = expiresAtMillis;
        }
    }
}
