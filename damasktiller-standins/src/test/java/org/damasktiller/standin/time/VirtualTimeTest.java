package org.damasktiller.standin.time;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class VirtualTimeTest {

    private final VirtualTime time = new VirtualTime(100);
    private final List<String> done = new ArrayList<>();

    @Test
    void testStepsRunInTheOrderOfTheirTimes() {
        time.after(20, () -> done.add("late at " + time.nowMillis()));
        time.after(10, () -> done.add("early at " + time.nowMillis()));
        time.after(10, () -> done.add("next at " + time.nowMillis()));
        time.pass(15);
        assertThat(done, is(List.of("early at 110", "next at 110")));
        assertThat(time.nowMillis(), is(115L));
        time.pass(5);
        assertThat(done.get(2), is("late at 120"));
    }

    @Test
    void testRunStopsOnceSomethingHolds() {
        time.after(10, () -> done.add("first"));
        time.after(20, () -> done.add("second"));
        assertThat(time.run(200, () -> !done.isEmpty()), is(true));
        assertThat(time.nowMillis(), is(110L));
        assertThat(time.run(200, () -> false), is(false));
        assertThat(time.nowMillis(), is(200L));
    }
}
