package org.damasktiller.node.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.standin.time.FreezableRuntime;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests what is logged of steps of the wall clock and of late timers. */
class ClockMonitorTest {

    private final VirtualTimeRuntime time = new VirtualTimeRuntime();

    private final FreezableRuntime freezable = new FreezableRuntime(time);

    private final List<String> lines = new ArrayList<>();

    private long wallClockOffsetMillis;

    private long timerDelayMillis;

    @Test
    void logsNothingWhileTheClocksAgreeAndTimersAreOnTime() {
        startMonitor();
        time.advance(10_000);
        assertThat(lines, empty());
    }

    @Test
    void logsAWallClockThatIsSetBackAndForward() {
        startMonitor();
        time.advance(1_000);
        wallClockOffsetMillis = -10_000;
        time.advance(1_000);
        wallClockOffsetMillis = 0;
        time.advance(1_000);
        assertThat(
                lines,
                contains(
                        "clock.stepped [aheadMillis, -10000, timerLateMillis, 0]",
                        "clock.stepped [aheadMillis, 10000, timerLateMillis, 0]"));
    }

    @Test
    void logsASuspensionAsAStepForward() {
        startMonitor();
        freezable.freeze();
        time.advance(3_000);
        freezable.unfreeze();
        time.advance(1_000);
        assertThat(lines, contains(startsWith("clock.stepped [aheadMillis, 3000,")));
    }

    @Test
    void logsTimersThatRunLate() {
        timerDelayMillis = 3_000;
        startMonitor();
        timerDelayMillis = 0;
        time.advance(5_000);
        assertThat(lines, contains("timer.late [millis, 3000]"));
    }

    private void startMonitor() {
        new ClockMonitor(
                        new SteppedRuntime(),
                        (event, fields) -> lines.add(event + ' ' + Arrays.toString(fields)))
                .start();
    }

    /** A runtime whose wall clock can be set and whose timers can be late. */
    private final class SteppedRuntime implements ProcessRuntime {

        @Override
        public long nowMillis() {
            return freezable.nowMillis();
        }

        @Override
        public long unixMillis() {
            return freezable.unixMillis() + wallClockOffsetMillis;
        }

        @Override
        public void schedule(long delayMillis, Runnable action) {
            freezable.schedule(delayMillis + timerDelayMillis, action);
        }
    }
}
