package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which processes try to take over a vacant cell. */
final class ElectionRankTest {

    /** The registered processes. */
    private static final List<NodeRecord> NODES =
            List.of(
                    new NodeRecord("far-1", "p", "c", false),
                    new NodeRecord("near-1", "p", "a", true),
                    new NodeRecord("near-2", "p", "b", true));

    @Test
    void processesNearTheStoreComeFirst() {
        assertThat(ElectionRank.of("cell", "", NODES, "far-1"), equalTo(2));
        assertThat(ElectionRank.of("cell", "", NODES, "near-1"), lessThan(2));
    }

    @Test
    void theCellOfAZoneGoesToItsZone() {
        assertThat(ElectionRank.of("cell@c", "c", NODES, "far-1"), equalTo(0));
    }

    @Test
    void aProcessThatIsNotSeenComesLast() {
        assertThat(ElectionRank.of("cell", "", NODES, "new"), equalTo(3));
    }
}
