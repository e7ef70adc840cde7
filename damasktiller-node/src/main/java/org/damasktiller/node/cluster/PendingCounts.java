package org.damasktiller.node.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StorePage;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Counts the pending submissions of a route by records that were in the store a bounded time ago.
 * The records are read from the store while the watch of the published keys is not answered, one
 * listing at a time for all requests that wait.
 */
final class PendingCounts {

    /**
     * The greatest age of the records, in milliseconds, as the platform allows it for a count. It
     * exceeds the time for which a call of the watch waits.
     */
    private static final long MAX_AGE_MILLIS = 2_000;

    /** The store, the session and the view. */
    private final ClusterContext context;

    /** The requests that wait for the listing that is under way. */
    private List<Request> waiting = new ArrayList<>();

    /**
     * Creates counts that have read nothing themselves.
     *
     * @param context the store, the session and the view
     */
    PendingCounts(ClusterContext context) {
        this.context = context;
    }

    /**
     * Counts the submissions of a route that wait for the start of their first task.
     *
     * @param route the name of the route
     * @param callback receives the number over all cells; empty if the store does not answer
     */
    void count(String route, Consumer<OptionalInt> callback) {
        if (context.view().ageMillis() <= MAX_AGE_MILLIS) {
            callback.accept(sum(context.view().pendingRecords(), route));
            return;
        }
        if (context.session().isFailing()) {
            callback.accept(OptionalInt.empty());
            return;
        }
        waiting.add(new Request(route, callback));
        if (waiting.size() == 1) {
            readPage("", new ArrayList<>());
        }
    }

    /**
     * Reads a page of the records.
     *
     * @param after the last key of the previous page, empty for the first page
     * @param records the records of the previous pages
     */
    private void readPage(String after, List<PendingRecord> records) {
        context.store().list(CellKeys.PENDING_PREFIX, after, result -> onPage(result, records));
    }

    /**
     * Handles a page: reads the next one, or answers the requests after the last one.
     *
     * @param result the page, or the failure
     * @param records the records of the previous pages
     */
    private void onPage(StoreResult<StorePage> result, List<PendingRecord> records) {
        if (result.status() != StoreStatus.OK) {
            context.log().log(
                    "counts.not-read",
                    "status",
                    result.status(),
                    "reason",
                    result.reason(),
                    "age",
                    context.view().ageMillis(),
                    "requests",
                    waiting.size());
            answer(request -> OptionalInt.empty());
            return;
        }
        List<StoreItem> items = result.require().items();
        for (StoreItem item : items) {
            PendingRecord record = StoredValueCodec.decode(item.value(), PendingRecord.class);
            if (record != null) {
                records.add(record);
            }
        }
        if (result.require().hasMore() && !items.isEmpty()) {
            readPage(items.get(items.size() - 1).key(), records);
        } else {
            answer(request -> sum(records, request.route()));
        }
    }

    /**
     * Answers all requests that wait.
     *
     * @param counter counts for a request
     */
    private void answer(Counter counter) {
        List<Request> answered = waiting;
        waiting = new ArrayList<>();
        answered.forEach(request -> request.callback().accept(counter.count(request)));
    }

    /**
     * Adds up the counts of a route.
     *
     * @param records the records of all cells
     * @param route the name of the route
     * @return the sum
     */
    private static OptionalInt sum(Collection<PendingRecord> records, String route) {
        return OptionalInt.of(
                records.stream().mapToInt(record -> record.byRoute().getOrDefault(route, 0)).sum());
    }

    /** Counts for a request. */
    @FunctionalInterface
    private interface Counter {

        /**
         * Counts for a request.
         *
         * @param request the request
         * @return the count, empty if it is not known
         */
        OptionalInt count(Request request);
    }

    /**
     * A request that waits for a listing.
     *
     * @param route the name of the route
     * @param callback receives the count, empty if it is not known
     */
    private record Request(String route, Consumer<OptionalInt> callback) {}
}
