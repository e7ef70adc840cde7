package org.damasktiller.node.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.activej.eventloop.Eventloop;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import org.damasktiller.platform.http.EventLoops;
import org.junit.jupiter.api.Test;

/** Tests the clock and the timers on top of an event loop. */
class EventLoopRuntimeTest {

    /** Timers by the wall clock stand still when it is set back. */
    @Test
    void timersFollowTheMonotonicClock() {
        long before = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        Eventloop eventloop = EventLoops.create();
        EventLoopRuntime runtime =
                new EventLoopRuntime(eventloop, Clock.systemUTC(), (event, fields) -> {});
        long timerMillis = eventloop.currentTimeMillis();
        long after = runtime.nowMillis();
        assertThat(timerMillis, allOf(greaterThanOrEqualTo(before), lessThanOrEqualTo(after)));
    }
}
