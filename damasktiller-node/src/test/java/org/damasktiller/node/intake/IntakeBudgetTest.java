package org.damasktiller.node.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/** Tests which bodies are given up when the memory for bodies is used up, and when they stop. */
class IntakeBudgetTest {

    private static final int SMALL = IntakeLimits.SMALL_BODY_BYTES;

    private static final int LARGE = 2 * SMALL;

    private static final IntakeLimits LIMITS =
            new IntakeLimits(8 * SMALL, 4 * SMALL, 100, 10_000, 60_000);

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final IntakeBudget budget = new IntakeBudget(LIMITS, runtime);

    private final List<String> givenUp = new ArrayList<>();

    @Test
    void bodyThatHoldsMostWithoutProgressIsGivenUpFirst() {
        Body stopped = new Body("stopped");
        budget.tryHold(stopped, LARGE);
        runtime.advance(100);
        Body progressing = new Body("progressing");
        budget.tryHold(progressing, LARGE);
        runtime.advance(10);
        progressing.lastProgressMillis = runtime.nowMillis();

        assertThat(budget.tryHold(new Body("new"), LARGE), is(true));
        assertThat(givenUp, contains("stopped NO_ROOM"));
    }

    @Test
    void smallBodiesHaveRoomThatLargeOnesDoNotUse() {
        budget.tryHold(new Body("large 1"), LARGE);
        budget.tryHold(new Body("large 2"), LARGE);
        for (int number = 0; number < 4; number++) {
            assertThat(budget.tryHold(new Body("small"), SMALL), is(true));
        }

        assertThat(givenUp, empty());
    }

    @Test
    void largeBodyDoesNotEndSmallOnesWhoseRoomItMayNotUse() {
        Body complete = new Body("complete");
        budget.tryHold(complete, 2 * LARGE);
        budget.complete(complete);
        budget.tryHold(new Body("small"), SMALL);

        assertThat(budget.tryHold(new Body("large"), LARGE), is(false));
        assertThat(givenUp, empty());
    }

    @Test
    void bodyThatIsCompleteIsNotGivenUp() {
        Body complete = new Body("complete");
        budget.tryHold(complete, 2 * LARGE);
        budget.complete(complete);
        runtime.advance(70_000);

        assertThat(budget.tryHold(new Body("large"), LARGE), is(false));
        assertThat(givenUp, empty());
        budget.release(complete);
        assertThat(budget.usedBytes(), is(0L));
    }

    @Test
    void bodyThatStopsIsGivenUp() {
        budget.tryHold(new Body("stopped"), SMALL);
        runtime.advance(9_000);
        assertThat(givenUp, empty());
        runtime.advance(2_000);

        assertThat(givenUp, contains("stopped STALLED"));
        assertThat(budget.usedBytes(), is(0L));
    }

    @Test
    void bodyThatTricklesIsGivenUpWhenItsCallerHasStoppedWaiting() {
        Body body = new Body("trickling");
        body.dueMillis = runtime.nowMillis() + 3_000;
        for (int second = 0; second < 4; second++) {
            body.lastProgressMillis = runtime.nowMillis();
            runtime.advance(1_000);
        }

        assertThat(givenUp, contains("trickling TOO_SLOW"));
    }

    @Test
    void connectionOfBodyThatWasGivenUpIsClosedBeforeOthers() {
        new Body("waiting");
        Body rejected = new Body("rejected");
        rejected.giveUp(BodyRejection.TOO_LARGE);

        assertThat(budget.closeConnection(), is(true));
        assertThat(budget.closeConnection(), is(true));
        assertThat(budget.closeConnection(), is(false));
        assertThat(
                givenUp,
                contains(
                        "rejected TOO_LARGE",
                        "rejected closed",
                        "waiting CONNECTION_NEEDED",
                        "waiting closed"));
    }

    /** A body that records what happens to it. */
    private final class Body extends IntakeHolding {

        private final String name;

        private long lastProgressMillis = runtime.nowMillis();

        private long dueMillis = Long.MAX_VALUE;

        Body(String name) {
            this.name = name;
            budget.begin(this);
        }

        @Override
        long lastProgressMillis() {
            return lastProgressMillis;
        }

        @Override
        long dueMillis() {
            return dueMillis;
        }

        @Override
        void giveUp(BodyRejection rejection) {
            givenUp.add(name + ' ' + rejection);
            budget.abandon(this);
        }

        @Override
        void closeConnection() {
            givenUp.add(name + " closed");
        }
    }
}
