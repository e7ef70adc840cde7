package org.damasktiller.scheduler.evacuation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests which zones may get starts. */
final class EvacuationViewTest {

    /** The age from which on the view allows no starts, in milliseconds. */
    private static final long MAXIMUM_AGE = 5_000;

    /** When the store last confirmed the view, in milliseconds. */
    private long confirmedAt = 1_000;

    /** The view under test. */
    private final EvacuationView view = new EvacuationView(MAXIMUM_AGE, () -> confirmedAt);

    @Test
    void noZoneGetsStartsBeforeTheFirstListing() {
        assertThat(view.allowsStarts("a", 1_000), is(false));
        view.onListed(Map.of(), 10);
        assertThat(view.allowsStarts("a", 1_000), is(true));
    }

    @Test
    void evacuatedZoneGetsStartsAgainOnceItIsTakenBack() {
        view.onListed(Map.of("a", 7L), 10);
        assertThat(view.allowsStarts("a", 1_000), is(false));
        assertThat(view.allowsStarts("b", 1_000), is(true));
        assertThat(view.onChange("a", false, 11), is(true));
        assertThat(view.allowsStarts("a", 1_000), is(true));
    }

    @Test
    void changesThatAreOlderThanTheListingAreIgnored() {
        view.onListed(Map.of(), 10);
        assertThat(view.onChange("a", true, 10), is(false));
        assertThat(view.allowsStarts("a", 1_000), is(true));
    }

    @Test
    void changesOfAZoneThatArriveOutOfOrderDoNotReturnToTheOlderOne() {
        view.onListed(Map.of(), 10);
        view.onChange("a", true, 12);
        assertThat(view.onChange("a", false, 11), is(false));
        assertThat(view.evacuatedZones(), contains("a"));
    }

    @Test
    void zonesThatANewListingLacksAreTakenBack() {
        view.onListed(Map.of("a", 7L, "b", 8L), 10);
        view.onListed(Map.of("b", 8L), 20);
        assertThat(view.evacuatedZones(), contains("b"));
        assertThat(view.sinceRevision("a"), is(20L));
    }

    @Test
    void viewThatTheStoreHasNotConfirmedForTooLongAllowsNoStarts() {
        view.onListed(Map.of(), 10);
        assertThat(view.allowsStarts("a", confirmedAt + MAXIMUM_AGE), is(true));
        assertThat(view.allowsStarts("a", confirmedAt + MAXIMUM_AGE + 1), is(false));
        confirmedAt += MAXIMUM_AGE;
        assertThat(view.allowsStarts("a", confirmedAt + 1), is(true));
    }
}
