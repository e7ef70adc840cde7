package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Replays the start of a process whose first calls are slow, as when all VMs were restarted. */
final class StoreSessionTest {

    /** The lease of the process, in milliseconds. */
    private static final long LEASE_MILLIS = 2_000;

    /** How much longer each of the first calls takes, in milliseconds. */
    private static final long COLD_CALL_MILLIS = 80;

    /** The number of calls that are slow. */
    private static final int COLD_CALLS = 2;

    /** The clock and the timers, which the tests advance. */
    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    /** The number of calls that were sent. */
    private final AtomicInteger calls = new AtomicInteger();

    /** How often the round trip was measured. */
    private final AtomicInteger measurements = new AtomicInteger();

    /** The session under test. */
    private final StoreSession session =
            new StoreSession(
                    coldClient(),
                    runtime,
                    (event, fields) -> {},
                    LEASE_MILLIS,
                    measurements::incrementAndGet);

    /** The process can be ranked, and so take part in elections, before the second renewal. */
    @Test
    void roundTripIsMeasuredWithoutWaitingForTheNextRenewal() {
        session.start();
        runtime.advance(COLD_CALLS * COLD_CALL_MILLIS + 50);
        assertThat(session.isMeasured(), is(true));
        assertThat(measurements.get(), equalTo(1));
    }

    /** A process near the store that has just started is not taken for one in another region. */
    @Test
    void slowFirstCallsDoNotMakeTheStoreLookFar() {
        session.start();
        runtime.advance(COLD_CALLS * COLD_CALL_MILLIS + 50);
        assertThat(session.fastestRenewalMillis(), lessThan(25L));
    }

    @Test
    void roundTripIsMeasuredOnceForALease() {
        session.start();
        runtime.advance(10 * LEASE_MILLIS);
        assertThat(measurements.get(), equalTo(1));
    }

    /**
     * Creates a client of an empty store whose first calls are sent late.
     *
     * @return the client
     */
    private MetadataStore coldClient() {
        MetadataStore client =
                new FaultInjectingStoreClient(
                        new InMemoryStore(runtime), runtime, FaultPlan.NO_FAULTS);
        return (MetadataStore)
                Proxy.newProxyInstance(
                        MetadataStore.class.getClassLoader(),
                        new Class<?>[] {MetadataStore.class},
                        (proxy, method, arguments) -> {
                            long delayMillis =
                                    calls.getAndIncrement() < COLD_CALLS ? COLD_CALL_MILLIS : 0;
                            runtime.schedule(
                                    delayMillis,
                                    () -> {
                                        try {
                                            method.invoke(client, arguments);
                                        } catch (ReflectiveOperationException exception) {
                                            throw new IllegalStateException(exception);
                                        }
                                    });
                            return null;
                        });
    }
}
