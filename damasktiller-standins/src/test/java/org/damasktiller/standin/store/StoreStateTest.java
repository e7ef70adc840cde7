package org.damasktiller.standin.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.store.SwapRequest;
import org.junit.jupiter.api.Test;

class StoreStateTest {

    private final StoreState store = new StoreState();

    @Test
    void testSwapNeedsExpectedRevision() {
        long first = store.compareAndSwap(write("a", 0, "one"), 0).revision();
        assertThat(store.compareAndSwap(write("a", 0, "two"), 0).applied(), is(false));
        assertThat(store.compareAndSwap(write("a", first, "two"), 0).applied(), is(true));
    }

    @Test
    void testLapsedLeaseDeletesItsKeys() {
        long lease = store.grantLease(10, 0);
        store.compareAndSwap(
                new SwapRequest("a", 0, "x".getBytes(StandardCharsets.UTF_8), lease), 1);
        assertThat(store.renewLease(lease, 5), is(true));
        assertThat(store.get("a", 14).isPresent(), is(true));
        assertThat(store.get("a", 15).isPresent(), is(false));
        assertThat(store.renewLease(lease, 15), is(false));
    }

    @Test
    void testTooLargeValueIsRefused() {
        byte[] large = new byte[StoreState.MAXIMUM_VALUE_BYTES + 1];
        assertThrows(
                DamasktillerException.class,
                () -> store.compareAndSwap(new SwapRequest("a", 0, large, 0), 0));
        assertThat(store.get("a", 0).isPresent(), is(false));
    }

    private static SwapRequest write(String key, long revision, String text) {
        return new SwapRequest(key, revision, text.getBytes(StandardCharsets.UTF_8), 0);
    }
}
