package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests how many zones a cell spans. */
final class LayoutPolicyTest {

    /** Six zones of two regions. */
    private static final Map<String, String> SIX_ZONES =
            Map.of(
                    "a", "north", "b", "north", "c", "north", "d", "south", "e", "south", "f",
                    "south");

    /** The operator leaves the decision to the policy. */
    private static final LayoutSettings AUTOMATIC =
            new LayoutSettings(SIX_ZONES, LayoutPolicy.AUTOMATIC);

    @Test
    void twoStrongVmsOwnAllZones() {
        assertThat(maxZones(AUTOMATIC, 1_500, 1_500, 360, 360), equalTo(6));
    }

    /** With 300 entry VMs one owner had 2,700 workers and 7,994 connections, and lost tasks. */
    @Test
    void cellsShrinkAsTheDeploymentGrows() {
        assertThat(maxZones(AUTOMATIC, Collections.nCopies(120, 1_500)), equalTo(6));
        assertThat(maxZones(AUTOMATIC, Collections.nCopies(300, 1_500)), equalTo(2));
        assertThat(maxZones(AUTOMATIC, Collections.nCopies(1_000, 1_500)), equalTo(1));
    }

    @Test
    void weakVmsOwnOneZoneEach() {
        assertThat(maxZones(AUTOMATIC, 120, 120, 120), equalTo(1));
    }

    @Test
    void singleStrongVmAmongOthersCouldNotBeReplaced() {
        assertThat(maxZones(AUTOMATIC, 1_500, 360, 360), equalTo(1));
    }

    @Test
    void vmOfUnknownSizeCountsAsStrong() {
        assertThat(maxZones(AUTOMATIC, 0, 0), equalTo(6));
        assertThat(maxZones(AUTOMATIC, 0), equalTo(6));
    }

    @Test
    void smallDeploymentHasOneCellOnAnyVm() {
        LayoutSettings settings = new LayoutSettings(Map.of("a", "north", "b", "south"), 0);
        assertThat(maxZones(settings, 120, 120), equalTo(3));
    }

    @Test
    void operatorDecides() {
        assertThat(maxZones(new LayoutSettings(SIX_ZONES, 2), 1_500, 1_500), equalTo(2));
    }

    /**
     * Asks the policy.
     *
     * @param settings the zones and what the operator configured
     * @param cpuMillicores the processor time of each VM, in millicores
     * @return the most zones of a cell
     */
    private static int maxZones(LayoutSettings settings, Integer... cpuMillicores) {
        return maxZones(settings, List.of(cpuMillicores));
    }

    /**
     * Asks the policy.
     *
     * @param settings the zones and what the operator configured
     * @param cpuMillicores the processor time of each VM, in millicores
     * @return the most zones of a cell
     */
    private static int maxZones(LayoutSettings settings, List<Integer> cpuMillicores) {
        List<NodeRecord> nodes =
                cpuMillicores.stream()
                        .map(cpu -> new NodeRecord("node", "process", "a", true, cpu, 0, "", true))
                        .toList();
        return LayoutPolicy.maxZonesPerCell(settings, nodes);
    }
}
