package org.damasktiller.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.VmId;
import org.junit.jupiter.api.Test;

class AssignmentTest {

    @Test
    void testWithoutMembersNothingIsAssigned() {
        Assignment<CellId> assignment = Assignment.of(cells(3), List.of());
        assertThat(assignment.owner(new CellId("cell-0")), is(Optional.empty()));
    }

    @Property(tries = 200, seed = "17")
    void testNoMemberHasMoreThanItsEvenShare(
            @ForAll @IntRange(min = 1, max = 120) int cells,
            @ForAll @IntRange(min = 1, max = 20) int members) {
        Assignment<CellId> assignment = Assignment.of(cells(cells), members(members));
        int assigned = 0;
        for (VmId member : members(members)) {
            int items = assignment.itemsOf(member).size();
            assertThat(items, lessThanOrEqualTo((cells + members - 1) / members));
            assigned += items;
        }
        assertThat(assigned, is(cells));
    }

    @Property(tries = 50, seed = "18")
    void testOrderOfInputDoesNotMatter(@ForAll long seed) {
        List<CellId> cells = new ArrayList<>(cells(40));
        List<VmId> members = new ArrayList<>(members(7));
        Assignment<CellId> ordered = Assignment.of(cells, members);
        Collections.shuffle(cells, new Random(seed));
        Collections.shuffle(members, new Random(seed + 1));
        Assignment<CellId> shuffled = Assignment.of(cells, members);
        cells.forEach(cell -> assertThat(shuffled.owner(cell), is(ordered.owner(cell))));
    }

    /** Of the cells of the members that stay, at most a fifth moves when one of nine goes. */
    @Property(tries = 50, seed = "19")
    void testLossOfOneMemberMovesLittle(@ForAll @IntRange(min = 0, max = 8) int lost) {
        List<CellId> cells = cells(90);
        List<VmId> members = new ArrayList<>(members(9));
        Assignment<CellId> before = Assignment.of(cells, members);
        VmId gone = members.remove(lost);
        Assignment<CellId> after = Assignment.of(cells, members);
        long moved =
                cells.stream()
                        .filter(cell -> !before.owner(cell).equals(Optional.of(gone)))
                        .filter(cell -> !before.owner(cell).equals(after.owner(cell)))
                        .count();
        assertThat(moved, lessThanOrEqualTo(90L / 5));
    }

    private static List<CellId> cells(int count) {
        return IntStream.range(0, count).mapToObj(each -> new CellId("cell-" + each)).toList();
    }

    private static List<VmId> members(int count) {
        return IntStream.range(0, count)
                .mapToObj(each -> new VmId("10.0.0." + each + ":7000"))
                .toList();
    }
}
