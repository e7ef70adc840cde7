package org.damasktiller.standin.client.store;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.damasktiller.store.SwapRequest;

/** One call to the key-value service as it is sent. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "call")
@JsonSubTypes({
    @JsonSubTypes.Type(value = StoreCall.Get.class, name = "get"),
    @JsonSubTypes.Type(value = StoreCall.ListPrefix.class, name = "list"),
    @JsonSubTypes.Type(value = StoreCall.Swap.class, name = "swap"),
    @JsonSubTypes.Type(value = StoreCall.Grant.class, name = "grant"),
    @JsonSubTypes.Type(value = StoreCall.Renew.class, name = "renew"),
    @JsonSubTypes.Type(value = StoreCall.Revoke.class, name = "revoke"),
    @JsonSubTypes.Type(value = StoreCall.Watch.class, name = "watch")
})
public sealed interface StoreCall {

    /**
     * Reads one key.
     *
     * @param key the key
     */
    record Get(String key) implements StoreCall {}

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     */
    record ListPrefix(String prefix) implements StoreCall {}

    /**
     * Writes one key if it has the expected revision.
     *
     * @param request the write
     */
    record Swap(SwapRequest request) implements StoreCall {}

    /**
     * Grants a lease.
     *
     * @param durationMillis how long it lasts, in milliseconds
     */
    record Grant(long durationMillis) implements StoreCall {}

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     */
    record Renew(long leaseId) implements StoreCall {}

    /**
     * Revokes a lease.
     *
     * @param leaseId the lease
     */
    record Revoke(long leaseId) implements StoreCall {}

    /**
     * Waits for a write.
     *
     * @param prefix the prefix of the keys
     * @param afterRevision the revision known
     * @param timeoutMillis how long to wait at most, in milliseconds
     */
    record Watch(String prefix, long afterRevision, long timeoutMillis) implements StoreCall {}
}
