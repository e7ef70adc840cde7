package org.damasktiller.standin.time;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class VirtualTimeSchedulerTest {

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler(100);
    private final List<String> log = new ArrayList<>();

    @Test
    void testActionsRunInTheOrderOfTheirTimes() {
        scheduler.schedule(20, () -> log.add("late at " + scheduler.nowMillis()));
        scheduler.schedule(10, () -> log.add("early at " + scheduler.nowMillis()));
        scheduler.schedule(10, () -> log.add("next at " + scheduler.nowMillis()));
        scheduler.advance(15);
        assertThat(log, is(List.of("early at 110", "next at 110")));
        assertThat(scheduler.nowMillis(), is(115L));
        scheduler.advance(5);
        assertThat(log.get(2), is("late at 120"));
    }

    @Test
    void testRunUntilStopsOnceTheConditionHolds() {
        scheduler.schedule(10, () -> log.add("first"));
        scheduler.schedule(20, () -> log.add("second"));
        assertThat(scheduler.runUntil(200, () -> !log.isEmpty()), is(true));
        assertThat(scheduler.nowMillis(), is(110L));
        assertThat(scheduler.runUntil(200, () -> false), is(false));
        assertThat(scheduler.nowMillis(), is(200L));
    }
}
