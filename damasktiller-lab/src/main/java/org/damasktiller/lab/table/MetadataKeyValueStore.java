package org.damasktiller.lab.table;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
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

/** Keeps the records of the table in the platform's store. */
public final class MetadataKeyValueStore implements KeyValueStore {

    /** The platform's store. */
    private final MetadataStore store;

    /**
     * Creates an adapter.
     *
     * @param store the platform's store
     */
    public MetadataKeyValueStore(MetadataStore store) {
        this.store = store;
    }

    @Override
    public Promise<Optional<StoredValue>> get(String key) {
        SettablePromise<Optional<StoredValue>> found = new SettablePromise<>();
        store.read(
                key,
                result -> {
                    if (result.status() == StoreStatus.ABSENT) {
                        found.set(Optional.empty());
                    } else if (result.status() == StoreStatus.OK) {
                        found.set(Optional.ofNullable(value(result.require().item())));
                    } else {
                        found.setException(unavailable(Step.READ, result, Outcome.NOT_RUN));
                    }
                });
        return found;
    }

    @Override
    public Promise<List<StoredValue>> list(String prefix) {
        SettablePromise<List<StoredValue>> found = new SettablePromise<>();
        readPage(prefix, "", new ArrayList<>(), found);
        return found;
    }

    @Override
    public Promise<SwapResult> compareAndSwap(SwapRequest request) {
        StoreTransaction commit =
                new StoreTransaction().expectRevision(request.key(), request.expectedRevision());
        byte[] value = request.value();
        if (value == null) {
            commit.remove(request.key());
        } else {
            commit.put(request.key(), value);
        }
        SettablePromise<SwapResult> swapped = new SettablePromise<>();
        store.commit(commit, result -> complete(swapped, result));
        return swapped;
    }

    /**
     * Reads the pages of a prefix one after the other.
     *
     * @param prefix the prefix
     * @param after the key after which the page begins
     * @param values the values so far
     * @param found takes all values
     */
    private void readPage(
            String prefix,
            String after,
            List<StoredValue> values,
            SettablePromise<List<StoredValue>> found) {
        store.list(
                prefix,
                after,
                result -> {
                    if (result.status() != StoreStatus.OK) {
                        found.setException(unavailable(Step.READ, result, Outcome.NOT_RUN));
                        return;
                    }
                    StorePage page = result.require();
                    for (StoreItem item : page.items()) {
                        values.add(new StoredValue(item.key(), item.value(), item.revision()));
                    }
                    if (page.hasMore() && !page.items().isEmpty()) {
                        String last = page.items().get(page.items().size() - 1).key();
                        readPage(prefix, last, values, found);
                    } else {
                        found.set(values);
                    }
                });
    }

    /**
     * Completes a write.
     *
     * @param swapped takes what became of it
     * @param result what the store said
     */
    private static void complete(
            SettablePromise<SwapResult> swapped, StoreResult<CommitReply> result) {
        switch (result.status()) {
            case OK -> swapped.set(new SwapResult(true, result.require().revision(), null));
            case CONFLICT -> {
                List<StoreItem> current = result.require().currentItems();
                StoreItem item = current.isEmpty() ? null : current.get(0);
                swapped.set(new SwapResult(false, 0, value(item)));
            }
            case REFUSED -> swapped.setException(unavailable(Step.COMMIT, result, Outcome.NOT_RUN));
            default ->
                    swapped.setException(unavailable(Step.COMMIT, result, Outcome.OUTCOME_UNKNOWN));
        }
    }

    /**
     * Turns an item into a value.
     *
     * @param item the item, or null
     * @return the value, or null if there is no item
     */
    private static @Nullable StoredValue value(@Nullable StoreItem item) {
        return item == null ? null : new StoredValue(item.key(), item.value(), item.revision());
    }

    /**
     * Makes the error of a call that was not carried out, as far as is known.
     *
     * @param step the step
     * @param result what the store said
     * @param outcome whether the call took effect
     * @return the error
     */
    private static DamasktillerException unavailable(
            Step step, StoreResult<?> result, Outcome outcome) {
        return new DamasktillerException(
                ErrorCode.STORE_UNAVAILABLE, step, "store", outcome, result.reason());
    }
}
