package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests how zones are divided into cells. */
final class CellLayoutTest {

    /** Two regions of three zones each. */
    private static final Map<String, String> SIX_ZONES =
            Map.of(
                    "east-1", "east", "east-2", "east", "east-3", "east", "west-1", "west",
                    "west-2", "west", "west-3", "west");

    @Test
    void zonesOfTwoRegionsFormOneCellIfOneOwnerCanCarryThem() {
        CellLayout layout = new CellLayout(SIX_ZONES, 6);
        assertThat(layout.cellsOf("dispatch"), contains("dispatch"));
        assertThat(layout.cellOf("dispatch", "west-2"), equalTo("dispatch"));
        assertThat(layout.zonesOf("dispatch").size(), equalTo(6));
    }

    @Test
    void cellNeverSpansTwoOfSeveralRegions() {
        CellLayout layout = new CellLayout(SIX_ZONES, 4);
        assertThat(layout.cellsOf("dispatch"), contains("dispatch@east-1", "dispatch@west-1"));
        assertThat(layout.cellOf("dispatch", "east-3"), equalTo("dispatch@east-1"));
        assertThat(layout.zonesOf("dispatch@west-1"), contains("west-1", "west-2", "west-3"));
    }

    @Test
    void regionWithMoreZonesIsDivided() {
        CellLayout layout = new CellLayout(SIX_ZONES, 2);
        assertThat(layout.cellsOf("dispatch").size(), equalTo(4));
        assertThat(layout.cellOf("dispatch", "east-3"), equalTo("dispatch@east-3"));
    }

    @Test
    void unknownZoneOrCellHasNoWorkers() {
        CellLayout layout = new CellLayout(SIX_ZONES, 3);
        assertThat(layout.cellOf("dispatch", "north-1"), equalTo("dispatch@north-1"));
        assertThat(layout.zonesOf("dispatch@north-1"), empty());
        assertThat(new CellLayout(SIX_ZONES, 6).cellOf("dispatch", "north-1"), equalTo("dispatch"));
    }

    @Test
    void cellWithoutZonesIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new CellLayout(SIX_ZONES, 0));
    }
}
