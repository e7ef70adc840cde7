package org.damasktiller.decision;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class SizeClassTest {

    @Test
    void testClassesNeverFallAndStayInRange() {
        int before = 0;
        for (long amount = 0; amount < 3_000_000; amount += 7) {
            int index = SizeClass.of(amount);
            assertThat(index, is(greaterThanOrEqualTo(before)));
            before = index;
        }
        assertThat(SizeClass.of(Long.MAX_VALUE), is(lessThan(SizeClass.COUNT)));
    }

    @Test
    void testDoublingIsFourClasses() {
        assertThat(SizeClass.of(2000) - SizeClass.of(1000), is(4));
        assertThat(SizeClass.of(1300), is(greaterThan(SizeClass.of(1000))));
    }
}
