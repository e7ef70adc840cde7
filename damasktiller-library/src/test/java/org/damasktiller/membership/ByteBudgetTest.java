package org.damasktiller.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

class ByteBudgetTest {

    private static final int BYTES_PER_SECOND = 2_000;

    private final ByteBudget budget = new ByteBudget(BYTES_PER_SECOND);

    @Test
    void testSendingStaysWithinHalfTheBudget() {
        for (long millis = 0; millis < 60_000; millis++) {
            budget.trySend(100, 0, millis);
        }
        assertThat(budget.sentBytes(), lessThanOrEqualTo(60L * BYTES_PER_SECOND / 2 + 2_000));
        assertThat(budget.sentBytes(), greaterThan(59L * BYTES_PER_SECOND / 2));
        assertThat(budget.refusedDatagrams(), greaterThan(0L));
    }

    @Test
    void testReserveIsLeftForMoreUrgentDatagrams() {
        while (budget.trySend(100, 600, 0)) {
            assertThat(budget.sentBytes(), lessThanOrEqualTo(1_400L));
        }
        assertThat(budget.trySend(100, 0, 0), is(true));
    }
}
