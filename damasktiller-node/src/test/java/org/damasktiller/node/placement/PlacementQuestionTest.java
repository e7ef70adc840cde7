package org.damasktiller.node.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** Tests which questions about placement are understood. */
final class PlacementQuestionTest {

    @Test
    void readsTheTaskFromTheParameters() {
        Map<String, String> parameters =
                Map.of("route", "plans", "cpu", "2000", "memory", "500", "filler", "true");
        PlacementQuestion question = PlacementQuestion.parse(parameters::get);
        assertThat(question.route(), is("plans"));
        assertThat(question.spec().need(), is(new Resources(2_000, 500, 0)));
        assertThat(question.spec().filling(), is(true));
        assertThat(question.spec().lasting(), is(false));
    }

    @Test
    void refusesMissingAndMalformedParameters() {
        assertRefused(Map.of("cpu", "2000"), "route");
        assertRefused(Map.of("route", "plans"), "cpu");
        assertRefused(Map.of("route", "plans", "cpu", "two"), "'two'");
        assertRefused(Map.of("route", "plans", "cpu", "-1"), "negative");
    }

    /**
     * Asserts that a question is refused.
     *
     * @param parameters the parameters of the question
     * @param reason a part of the message
     */
    private static void assertRefused(Map<String, String> parameters, String reason) {
        DamasktillerException refusal =
                assertThrows(
                        DamasktillerException.class,
                        () -> PlacementQuestion.parse(parameters::get));
        assertThat(refusal.code(), is(ErrorCode.BAD_REQUEST));
        assertThat(refusal.getMessage(), containsString(reason));
    }
}
