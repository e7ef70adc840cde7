package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the order in which processes try to take over a vacant cell. */
final class ElectionRankTest {

    /** The registered processes. */
    private static final List<NodeRecord> NODES =
            List.of(
                    new NodeRecord("far-1", "p", "c", false, 750, 0, ""),
                    new NodeRecord("near-1", "p", "a", true, 750, 0, ""),
                    new NodeRecord("near-2", "p", "b", true, 750, 0, ""));

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
                        new NodeRecord("near-weak", "p", "a", true, 360, 0, ""),
                        new NodeRecord("far-strong", "p", "c", false, 1_500, 0, ""));
        assertThat(ElectionRank.of("cell", ALL_ZONES, nodes, "far-strong"), equalTo(0));
        assertThat(ElectionRank.of("cell", ALL_ZONES, nodes, "near-weak"), equalTo(1));
    }

    @Test
    void processesNearTheStoreRankFirst() {
        assertThat(ElectionRank.of("cell", ALL_ZONES, NODES, "far-1"), equalTo(2));
        assertThat(ElectionRank.of("cell", ALL_ZONES, NODES, "near-1"), lessThan(2));
    }

    @Test
    void processInTheZoneOfTheCellRanksFirst() {
        assertThat(ElectionRank.of("cell@c", Set.of("c"), NODES, "far-1"), equalTo(0));
    }

    @Test
    void unregisteredProcessRanksLast() {
        assertThat(ElectionRank.of("cell", ALL_ZONES, NODES, "new"), equalTo(3));
    }

    /**
     * All processes are restarted one after the other, and two of three have been when the third
     * hands the cell over.
     */
    @Test
    void processThatWasRestartedLastRanksFirst() {
        List<NodeRecord> nodes =
                List.of(
                        new NodeRecord("near-1", "p", "a", true, 750, 60_000, ""),
                        new NodeRecord("near-2", "p", "b", true, 750, 10_000, ""),
                        new NodeRecord("near-3", "p", "a", true, 750, 70_000, ""),
                        new NodeRecord("far-1", "p", "c", false, 750, 90_000, ""));
        assertThat(ElectionRank.of("cell", ALL_ZONES, nodes, "near-3"), equalTo(0));
        assertThat(ElectionRank.of("cell", ALL_ZONES, nodes, "near-1"), equalTo(1));
        assertThat(ElectionRank.of("cell", ALL_ZONES, nodes, "near-2"), equalTo(2));
        assertThat(ElectionRank.of("cell", ALL_ZONES, nodes, "far-1"), equalTo(3));
    }

    /** Processes that start together are ordered by their VMs, so that cells are spread. */
    @Test
    void processesThatStartTogetherAreOrderedByTheirVms() {
        List<NodeRecord> nodes =
                List.of(
                        new NodeRecord("near-1", "p", "a", true, 750, 60_100, ""),
                        new NodeRecord("near-2", "p", "b", true, 750, 60_900, ""));
        List<NodeRecord> swapped =
                List.of(
                        new NodeRecord("near-1", "p", "a", true, 750, 60_900, ""),
                        new NodeRecord("near-2", "p", "b", true, 750, 60_100, ""));
        assertThat(
                ElectionRank.of("cell", ALL_ZONES, nodes, "near-1"),
                equalTo(ElectionRank.of("cell", ALL_ZONES, swapped, "near-1")));
    }
}
