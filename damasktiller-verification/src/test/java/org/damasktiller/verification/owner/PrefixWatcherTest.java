package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.cell.PrefixWatcher;
import org.damasktiller.scheduler.cell.Snapshot;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests the watch of a list with a listener that fails for some of the items. */
final class PrefixWatcherTest {

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The keys whose items the listener has handled. */
    private final List<String> handled = new ArrayList<>();

    private final List<String> logLines = new ArrayList<>();

    /** An error for one item ended the watch, and nothing named the key. */
    @Test
    void itemThatTheListenerCannotHandleEndsNoListing() {
        put("list/a", "list/bad", "list/c");
        startWatcher();
        advanceAndCatch(100);
        put("list/d");
        advanceAndCatch(2_000);
        assertThat(handled, contains("list/a", "list/c", "list/d"));
        assertThat(logLines, hasItem("watch.item-skipped list/bad"));
    }

    /** An error for one change ended the watch and dropped the changes after it. */
    @Test
    void changeThatTheListenerCannotHandleEndsNoWatch() {
        startWatcher();
        advanceAndCatch(100);
        put("list/bad", "list/a");
        advanceAndCatch(2_000);
        put("list/b");
        advanceAndCatch(2_000);
        assertThat(handled, hasItems("list/a", "list/b"));
        assertThat(logLines, hasItem("watch.item-skipped list/bad"));
    }

    /**
     * Writes items in one transaction.
     *
     * @param keys the keys
     */
    private void put(String... keys) {
        StoreTransaction transaction = new StoreTransaction();
        for (String key : keys) {
            transaction.put(key, new byte[0]);
        }
        store.commit(transaction);
    }

    /** Starts to watch the list. */
    private void startWatcher() {
        new PrefixWatcher(
                        "list/",
                        0,
                        new FaultInjectingStoreClient(store, runtime, FaultPlan.NO_FAULTS),
                        runtime,
                        (event, fields) -> logLines.add(event + ' ' + fields[1]),
                        new Items())
                .start();
    }

    /**
     * Advances the time and goes on after an error, as the event loop does.
     *
     * @param millis the time to advance by, in milliseconds
     */
    private void advanceAndCatch(long millis) {
        long endMillis = runtime.nowMillis() + millis;
        while (runtime.nowMillis() < endMillis) {
            try {
                runtime.advance(endMillis - runtime.nowMillis());
            } catch (IllegalStateException exception) {
                logLines.add("program.fault " + exception.getMessage());
            }
        }
    }

    /** Handles all items except the bad one. */
    private final class Items implements PrefixWatcher.Listener {

        @Override
        public void onSnapshot(Snapshot snapshot) {
            snapshot.forEach(item -> handle(item.key()));
        }

        @Override
        public void onChange(StoreEvent event) {
            handle(event.key());
        }

        /**
         * Handles an item.
         *
         * @param key the key
         */
        private void handle(String key) {
            if (key.equals("list/bad")) {
                throw new IllegalStateException(key);
            }
            handled.add(key);
        }
    }
}
