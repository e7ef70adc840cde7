package org.damasktiller.lab.table;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StorePage;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;
import org.jspecify.annotations.Nullable;

/**
 * Adapts the scheduler's client of the platform's store to the interface that the table's
 * repository uses. Belongs to the thread of the event loop.
 */
public final class MetadataKeyValueStore implements KeyValueStore {

    /** The client of the platform's store. */
    private final MetadataStore store;

    /**
     * Creates an adapter.
     *
     * @param store the client of the platform's store
     */
    public MetadataKeyValueStore(MetadataStore store) {
        this.store = store;
    }

    @Override
    public Promise<Optional<StoredValue>> get(String key) {
        SettablePromise<Optional<StoredValue>> promise = new SettablePromise<>();
        store.read(
                key,
                result -> {
                    if (result.status() == StoreStatus.ABSENT) {
                        promise.set(Optional.empty());
                    } else if (result.status() == StoreStatus.OK) {
                        promise.set(Optional.ofNullable(toStoredValue(result.require().item())));
                    } else {
                        promise.setException(
                                storeUnavailable(Operation.READ, result, Outcome.NOT_RUN));
                    }
                });
        return promise;
    }

    @Override
    public Promise<List<StoredValue>> list(String prefix) {
        SettablePromise<List<StoredValue>> promise = new SettablePromise<>();
        readPage(prefix, "", new ArrayList<>(), promise);
        return promise;
    }

    @Override
    public Promise<SwapResult> compareAndSwap(SwapRequest request) {
        StoreTransaction transaction =
                new StoreTransaction().expectRevision(request.key(), request.expectedRevision());
        byte[] value = request.value();
        if (value == null) {
            transaction.remove(request.key());
        } else {
            transaction.put(request.key(), value);
        }
        SettablePromise<SwapResult> promise = new SettablePromise<>();
        store.commit(transaction, result -> completeSwap(promise, result));
        return promise;
    }

    /**
     * Reads the next page of a prefix, and all later pages.
     *
     * @param prefix the prefix of the keys
     * @param after the last key of the previous page, empty for the first page
     * @param values the values of the previous pages, to which those of this page are added
     * @param promise completed with the values of all pages, or with the first error
     */
    private void readPage(
            String prefix,
            String after,
            List<StoredValue> values,
            SettablePromise<List<StoredValue>> promise) {
        store.list(
                prefix,
                after,
                result -> {
                    if (result.status() != StoreStatus.OK) {
                        promise.setException(
                                storeUnavailable(Operation.READ, result, Outcome.NOT_RUN));
                        return;
                    }
                    StorePage page = result.require();
                    for (StoreItem item : page.items()) {
                        values.add(new StoredValue(item.key(), item.value(), item.revision()));
                    }
                    if (page.hasMore() && !page.items().isEmpty()) {
                        String lastKey = page.items().get(page.items().size() - 1).key();
                        readPage(prefix, lastKey, values, promise);
                    } else {
                        promise.set(values);
                    }
                });
    }

    /**
     * Completes the promise of a write. The outcome of a write is unknown unless the store has
     * executed it, refused it or found another revision.
     *
     * @param promise the promise of the write
     * @param result the reply of the store
     */
    private static void completeSwap(
            SettablePromise<SwapResult> promise, StoreResult<CommitReply> result) {
        switch (result.status()) {
            case OK -> promise.set(new SwapResult(true, result.require().revision(), null));
            case CONFLICT -> {
                List<StoreItem> current = result.require().currentItems();
                StoreItem item = current.isEmpty() ? null : current.get(0);
                promise.set(new SwapResult(false, 0, toStoredValue(item)));
            }
            case REFUSED, INVALID ->
                    promise.setException(
                            storeUnavailable(Operation.COMMIT, result, Outcome.NOT_RUN));
            default ->
                    promise.setException(
                            storeUnavailable(Operation.COMMIT, result, Outcome.OUTCOME_UNKNOWN));
        }
    }

    /**
     * Converts an item of the store.
     *
     * @param item the item, or null if the key is absent
     * @return the stored value, or null if the key is absent
     */
    private static @Nullable StoredValue toStoredValue(@Nullable StoreItem item) {
        return item == null ? null : new StoredValue(item.key(), item.value(), item.revision());
    }

    /**
     * Creates the error for a call that the store did not confirm.
     *
     * @param operation the operation that failed
     * @param result the reply of the store
     * @param outcome whether the call took effect
     * @return the error, with code STORE_UNAVAILABLE
     */
    private static DamasktillerException storeUnavailable(
            Operation operation, StoreResult<?> result, Outcome outcome) {
        return new DamasktillerException(
                ErrorCode.STORE_UNAVAILABLE, operation, "store", outcome, result.reason());
    }
}
