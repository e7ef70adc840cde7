package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the order in which processes try to take over a vacant cell. */
final class ElectionRankTest {

    /** The registered processes. */
    private static final List<NodeRecord> NODES =
            List.of(
                    new NodeRecord("far-1", "p", "c", false, 750, 0, "", true),
                    new NodeRecord("near-1", "p", "a", true, 750, 0, "", true),
                    new NodeRecord("near-2", "p", "b", true, 750, 0, "", true));

    /** The zones of a cell that spans all zones. */
    private static final Set<String> ALL_ZONES = Set.of("a", "b", "c");

    /**
     * A weak VM that owned the workers of all zones would answer too late to keep them busy, so
     * that a strong one far from the store goes first.
     */
    @Test
    void strongVmFarFromTheStoreRanksBeforeWeakOneNearIt() {
        List<NodeRecord> nodes =
                List.of(
                        new NodeRecord("near-weak", "p", "a", true, 360, 0, "", true),
                        new NodeRecord("far-strong", "p", "c", false, 1_500, 0, "", true));
        assertThat(rank("cell", ALL_ZONES, nodes, "far-strong"), equalTo(0));
        assertThat(rank("cell", ALL_ZONES, nodes, "near-weak"), equalTo(1));
    }

    @Test
    void processesNearTheStoreRankFirst() {
        assertThat(rank("cell", ALL_ZONES, NODES, "far-1"), equalTo(2));
        assertThat(rank("cell", ALL_ZONES, NODES, "near-1"), lessThan(2));
    }

    @Test
    void processInTheZoneOfTheCellRanksFirst() {
        assertThat(rank("cell@c", Set.of("c"), NODES, "far-1"), equalTo(0));
    }

    /** The first VM that was back took every vacant cell, although others were registered. */
    @Test
    void processThatOwnsACellRanksBehindOneThatOwnsNone() {
        Map<String, Integer> cells = Map.of("near-1", 1);
        assertThat(rank("cell@a", Set.of("a"), NODES, cells, "near-1"), equalTo(2));
        assertThat(rank("cell@a", Set.of("a"), NODES, cells, "near-2"), equalTo(0));
    }

    /** A weak VM without a cell is not preferred to a strong one that has time for two. */
    @Test
    void strongProcessWithACellRanksBeforeAWeakOneWithoutAny() {
        List<NodeRecord> nodes =
                List.of(
                        new NodeRecord("weak", "p", "a", true, 360, 0, "", true),
                        new NodeRecord("strong", "p", "b", true, 1_500, 0, "", true));
        assertThat(rank("cell", ALL_ZONES, nodes, Map.of("strong", 1), "strong"), equalTo(0));
        assertThat(rank("cell", ALL_ZONES, nodes, Map.of("strong", 4), "strong"), equalTo(1));
    }

    /** The owner answers its workers over the slow link between regions if it is in another one. */
    @Test
    void processInTheRegionOfTheCellRanksBeforeAStrongerOneElsewhere() {
        CellPlace place = new CellPlace("cell@c", Set.of("c"), Set.of("c", "d"));
        List<NodeRecord> nodes =
                List.of(
                        new NodeRecord("elsewhere", "p", "a", true, 1_500, 0, "", true),
                        new NodeRecord("in-region", "p", "d", false, 360, 0, "", true));
        assertThat(
                ElectionRank.of(place, new Candidates(nodes, Map.of("in-region", 1)), "in-region"),
                equalTo(0));
    }

    @Test
    void unregisteredProcessRanksLast() {
        assertThat(rank("cell", ALL_ZONES, NODES, "new"), equalTo(3));
    }

    /**
     * All processes are restarted one after the other, and two of three have been when the third
     * hands the cell over.
     */
    @Test
    void processThatWasRestartedLastRanksFirst() {
        List<NodeRecord> nodes =
                List.of(
                        new NodeRecord("near-1", "p", "a", true, 750, 60_000, "", true),
                        new NodeRecord("near-2", "p", "b", true, 750, 10_000, "", true),
                        new NodeRecord("near-3", "p", "a", true, 750, 70_000, "", true),
                        new NodeRecord("far-1", "p", "c", false, 750, 90_000, "", true));
        assertThat(rank("cell", ALL_ZONES, nodes, "near-3"), equalTo(0));
        assertThat(rank("cell", ALL_ZONES, nodes, "near-1"), equalTo(1));
        assertThat(rank("cell", ALL_ZONES, nodes, "near-2"), equalTo(2));
        assertThat(rank("cell", ALL_ZONES, nodes, "far-1"), equalTo(3));
    }

    /** Processes that start together are ordered by their VMs, so that cells are spread. */
    @Test
    void processesThatStartTogetherAreOrderedByTheirVms() {
        List<NodeRecord> nodes =
                List.of(
                        new NodeRecord("near-1", "p", "a", true, 750, 60_100, "", true),
                        new NodeRecord("near-2", "p", "b", true, 750, 60_900, "", true));
        List<NodeRecord> swapped =
                List.of(
                        new NodeRecord("near-1", "p", "a", true, 750, 60_900, "", true),
                        new NodeRecord("near-2", "p", "b", true, 750, 60_100, "", true));
        assertThat(
                rank("cell", ALL_ZONES, nodes, "near-1"),
                equalTo(rank("cell", ALL_ZONES, swapped, "near-1")));
    }

    /**
     * Ranks a process while no process owns a cell and all zones are in one region.
     *
     * @param cell the name of the cell
     * @param zones the zones of the cell
     * @param nodes the registered processes
     * @param node the name of the VM to rank
     * @return the rank
     */
    private static int rank(String cell, Set<String> zones, List<NodeRecord> nodes, String node) {
        return rank(cell, zones, nodes, Map.of(), node);
    }

    /**
     * Ranks a process while all zones are in one region.
     *
     * @param cell the name of the cell
     * @param zones the zones of the cell
     * @param nodes the registered processes
     * @param cellsByNode how many cells each VM owns
     * @param node the name of the VM to rank
     * @return the rank
     */
    private static int rank(
            String cell,
            Set<String> zones,
            List<NodeRecord> nodes,
            Map<String, Integer> cellsByNode,
            String node) {
        return ElectionRank.of(
                new CellPlace(cell, zones, ALL_ZONES), new Candidates(nodes, cellsByNode), node);
    }
}
