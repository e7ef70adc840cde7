package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which cells a process hands over. */
final class OwnerBalanceTest {

    /** How long everything has lasted that must have lasted some time, in milliseconds. */
    private static final long LONG_MILLIS = 60_000;

    /** The zones of the region of the tests with one region. */
    private static final Set<String> NORTH = Set.of("a", "b", "c");

    /** The VMs of these tests. */
    private static final List<NodeRecord> NODES =
            List.of(node("vm-a", "a", 120), node("vm-b", "b", 120), node("vm-c", "c", 120));

    /** The number of random memberships. */
    private static final int MEMBERSHIPS = 500;

    @Test
    void processWithTwoCellsMoreHandsOverTheOneOutsideItsZone() {
        PlannedHandOver planned = choose(Map.of("vm-a", 2), settled("cell@a"), settled("cell@b"));
        assertThat(planned, notNullValue());
        assertThat(planned.cell(), equalTo("cell@b"));
        assertThat(planned.candidate().node(), equalTo("vm-b"));
        assertThat(planned.owned(), equalTo(2));
        assertThat(planned.share(), equalTo(1));
    }

    @Test
    void processWithOneCellMoreKeepsItsCells() {
        assertThat(
                choose(
                        Map.of("vm-a", 2, "vm-b", 1, "vm-c", 1),
                        settled("cell@a"),
                        settled("cell@b")),
                nullValue());
    }

    /** A deployment with one cell has nothing to spread. */
    @Test
    void onlyCellStaysWhereItIs() {
        List<NodeRecord> nodes = List.of(node("vm-a", "a", 120), node("vm-b", "b", 4_000));
        OwnedCell cell = new OwnedCell(new CellPlace("cell", NORTH, NORTH), true, LONG_MILLIS);
        assertThat(
                OwnerBalance.choose(
                        nodes.get(0),
                        List.of(cell),
                        new Candidates(nodes, Map.of("vm-a", 1)),
                        record -> LONG_MILLIS),
                nullValue());
    }

    @Test
    void cellThatWasTakenOverJustNowStays() {
        long tooShortMillis = OwnerBalance.MIN_TERM_MILLIS - 1;
        assertThat(
                choose(
                        Map.of("vm-a", 2),
                        cell("cell@a", true, tooShortMillis),
                        cell("cell@b", true, tooShortMillis)),
                nullValue());
    }

    /** A VM handed over the cell of its own zone and kept one of another region for good. */
    @Test
    void cellOfTheOwnersZoneStaysWhileAFartherOneIsNotDue() {
        assertThat(
                choose(
                        Map.of("vm-a", 2),
                        settled("cell@a"),
                        cell("cell@b", true, OwnerBalance.MIN_TERM_MILLIS - 1)),
                nullValue());
    }

    /** What the successor has to wait for would not be over sooner. */
    @Test
    void cellWhosePreviousOwnersAreNotExcludedStaysForLonger() {
        long unsettledMillis = OwnerBalance.MIN_UNSETTLED_TERM_MILLIS;
        assertThat(
                choose(
                        Map.of("vm-a", 2),
                        cell("cell@a", false, unsettledMillis - 1),
                        cell("cell@b", false, unsettledMillis - 1)),
                nullValue());
        assertThat(
                choose(
                        Map.of("vm-a", 2),
                        cell("cell@a", false, unsettledMillis),
                        cell("cell@b", false, unsettledMillis)),
                notNullValue());
    }

    @Test
    void cellIsNotHandedToAProcessThatRegisteredJustNow() {
        assertThat(
                OwnerBalance.choose(
                        NODES.get(0),
                        List.of(settled("cell@a"), settled("cell@b")),
                        new Candidates(NODES, Map.of("vm-a", 2)),
                        record -> OwnerBalance.MIN_REGISTRATION_MILLIS - 1),
                nullValue());
    }

    @Test
    void strongProcessDoesNotHandOverToAWeakOne() {
        List<NodeRecord> nodes = List.of(node("vm-a", "a", 1_500), node("vm-b", "b", 120));
        assertThat(
                OwnerBalance.choose(
                        nodes.get(0),
                        List.of(settled("cell@a"), settled("cell@b")),
                        new Candidates(nodes, Map.of("vm-a", 2)),
                        record -> LONG_MILLIS),
                nullValue());
    }

    /**
     * Cells went from VMs near the store to the region of their workers, and were lost when the
     * link between the regions was full.
     */
    @Test
    void onlyCellOfAProcessStaysOutsideItsRegion() {
        assertThat(choose(1, 0), nullValue());
    }

    @Test
    void oneOfSeveralCellsGoesToItsRegion() {
        PlannedHandOver planned = choose(2, 0);
        assertThat(planned, notNullValue());
        assertThat(planned.candidate().node(), equalTo("vm-s"));
    }

    /** Chooses for a VM in the north that owns a cell in the south. */
    private static @Nullable PlannedHandOver choose(int northCells, int southCells) {
        List<NodeRecord> nodes = List.of(node("vm-a", "a", 120), node("vm-s", "s", 120));
        Set<String> south = Set.of("s", "t");
        return OwnerBalance.choose(
                nodes.get(0),
                List.of(
                        new OwnedCell(
                                new CellPlace("cell@s", Set.of("s"), south), true, LONG_MILLIS)),
                new Candidates(nodes, Map.of("vm-a", northCells, "vm-s", southCells)),
                record -> LONG_MILLIS);
    }

    /** Cells would be handed over in a circle, each time with an interruption. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void handOversOfARandomMembershipEnd(long seed) {
        Random random = new Random(seed);
        for (int number = 0; number < MEMBERSHIPS; number++) {
            new Membership(random).handOverUntilBalanced(random);
        }
    }

    /** Cells of VMs that are equally strong are spread until none has two more than another. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void equalProcessesOfARegionShareItsCells(long seed) {
        Random random = new Random(seed);
        for (int number = 0; number < MEMBERSHIPS; number++) {
            Membership membership = new Membership(random, 1, 120);
            membership.handOverUntilBalanced(random);
            List<Integer> counts =
                    membership.nodes.stream().map(membership.candidates()::cellsOf).toList();
            assertThat(Collections.max(counts) - Collections.min(counts), lessThanOrEqualTo(1));
        }
    }

    private static @Nullable PlannedHandOver choose(
            Map<String, Integer> cellsByNode, OwnedCell... cells) {
        return OwnerBalance.choose(
                NODES.get(0),
                List.of(cells),
                new Candidates(NODES, cellsByNode),
                record -> LONG_MILLIS);
    }

    private static OwnedCell settled(String cell) {
        return cell(cell, true, LONG_MILLIS);
    }

    /** Creates a cell of one zone, which its name ends with. */
    private static OwnedCell cell(String cell, boolean settled, long termMillis) {
        String zone = cell.substring(cell.indexOf('@') + 1);
        return new OwnedCell(new CellPlace(cell, Set.of(zone), NORTH), settled, termMillis);
    }

    private static NodeRecord node(String name, String zone, int millicores) {
        return new NodeRecord(name, "process-" + name, zone, true, millicores, 0, "", true);
    }

    /** A random set of processes in up to three regions, which own cells at random. */
    private static final class Membership {

        /** The number of zones of a region. */
        private static final int ZONES_PER_REGION = 3;

        private final List<NodeRecord> nodes = new ArrayList<>();

        private final List<CellPlace> places = new ArrayList<>();

        /** The name of the VM that owns each cell. */
        private final Map<CellPlace, String> owners = new HashMap<>();

        private Membership(Random random) {
            this(random, 1 + random.nextInt(3), 0);
        }

        /**
         * Creates a membership.
         *
         * @param random the source of all choices
         * @param regions the number of regions
         * @param millicores the processor time of each VM, or 0 for random ones
         */
        private Membership(Random random, int regions, int millicores) {
            int zones = regions * ZONES_PER_REGION;
            int count = 1 + random.nextInt(12);
            for (int index = 0; index < count; index++) {
                nodes.add(
                        new NodeRecord(
                                "vm-" + index,
                                "process-" + index,
                                zone(random.nextInt(zones)),
                                random.nextBoolean(),
                                millicores > 0 ? millicores : random.nextInt(4) * 400,
                                random.nextInt(3) * 10_000L,
                                "",
                                true));
            }
            for (int zone = 0; zone < zones; zone++) {
                for (int service = random.nextInt(3); service > 0; service--) {
                    CellPlace place =
                            new CellPlace(
                                    "service" + service + '@' + zone(zone),
                                    Set.of(zone(zone)),
                                    regionZones(zone / ZONES_PER_REGION));
                    places.add(place);
                    owners.put(place, nodes.get(random.nextInt(count)).node());
                }
            }
        }

        /** Lets processes in random order hand over cells until none of them would. */
        private void handOverUntilBalanced(Random random) {
            int limit = 10 * (places.size() + 1) * (nodes.size() + 1);
            int handOvers = 0;
            boolean changed = true;
            while (changed) {
                changed = false;
                Collections.shuffle(nodes, random);
                for (NodeRecord owner : nodes) {
                    changed |= handOver(owner);
                }
                handOvers++;
                assertThat(handOvers, lessThan(limit));
            }
        }

        /** Hands over a cell of a process, if it should, to the one that ranks first then. */
        private boolean handOver(NodeRecord owner) {
            List<OwnedCell> cells =
                    places.stream()
                            .filter(place -> owner.node().equals(owners.get(place)))
                            .map(place -> new OwnedCell(place, true, LONG_MILLIS))
                            .toList();
            PlannedHandOver planned =
                    OwnerBalance.choose(owner, cells, candidates(), record -> LONG_MILLIS);
            if (planned == null) {
                return false;
            }
            CellPlace place =
                    places.stream()
                            .filter(other -> other.cell().equals(planned.cell()))
                            .findAny()
                            .orElseThrow();
            owners.remove(place);
            Candidates left = candidates();
            List<NodeRecord> ranked =
                    ElectionRank.order(place, left).stream()
                            .filter(record -> !record.node().equals(owner.node()))
                            .toList();
            assertThat(ranked.get(0).equals(planned.candidate()), is(true));
            owners.put(place, ranked.get(0).node());
            return true;
        }

        private Candidates candidates() {
            Map<String, Integer> counts = new HashMap<>();
            owners.values().forEach(node -> counts.merge(node, 1, Integer::sum));
            return new Candidates(nodes, counts);
        }

        private static String zone(int number) {
            return "zone-" + number;
        }

        private static Set<String> regionZones(int region) {
            int first = region * ZONES_PER_REGION;
            return Set.of(zone(first), zone(first + 1), zone(first + 2));
        }
    }
}
