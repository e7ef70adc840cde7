package org.damasktiller.node.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests how the pacer lets bodies in very small parts read on. */
class ChunkPacerTest {

    private static final int INTERVALS = 50;

    private static final long INTERVAL_MILLIS = 10;

    private final VirtualTimeRuntime time = new VirtualTimeRuntime();

    /** The number of timers that the pacer has started and that have not run yet. */
    private int timers;

    @Test
    void bodyThatUsesUpEachIntervalDoesNotAddTimers() {
        Eventloop.builder().withCurrentThread().build();
        ChunkPacer pacer = new ChunkPacer(new CountingRuntime());
        readOn(pacer);
        for (int interval = 0; interval < INTERVALS; interval++) {
            time.advance(INTERVAL_MILLIS);
        }

        assertThat("timers", timers, is(1));
    }

    /** Reads parts without an end, as long as the pacer does not let the body wait. */
    private static void readOn(ChunkPacer pacer) {
        Promise<Void> next = pacer.onPart(1);
        while (next.isComplete()) {
            next = pacer.onPart(1);
        }
        next.whenResult(() -> readOn(pacer));
    }

    /** Counts timers. */
    private final class CountingRuntime implements ProcessRuntime {

        @Override
        public long nowMillis() {
            return time.nowMillis();
        }

        @Override
        public long unixMillis() {
            return time.unixMillis();
        }

        @Override
        public void schedule(long delayMillis, Runnable action) {
            timers++;
            time.schedule(
                    delayMillis,
                    () -> {
                        timers--;
                        action.run();
                    });
        }
    }
}
