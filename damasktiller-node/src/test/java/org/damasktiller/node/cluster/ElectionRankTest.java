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
                    new NodeRecord("far-1", "p", "c", false, 750),
                    new NodeRecord("near-1", "p", "a", true, 750),
                    new NodeRecord("near-2", "p", "b", true, 750));

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
                        new NodeRecord("near-weak", "p", "a", true, 360),
                        new NodeRecord("far-strong", "p", "c", false, 1_500));
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
}
