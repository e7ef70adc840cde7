package org.damasktiller.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.junit.jupiter.api.Test;

class TableMergeTest {

    private static final OperatorTable BASE = TestTables.table(1, "billing 3 10", "plan 4 20");

    @Test
    void testDifferentCellsOfOneRowAreMerged() {
        OperatorTable theirs = TestTables.table(2, "billing 5 10", "plan 4 20");
        List<RowChange> changes = merge(TestTables.table(1, "billing 3 11", "plan 4 20"), theirs);
        assertThat(theirs.with(3, changes), is(TestTables.table(3, "billing 5 11", "plan 4 20")));
    }

    @Test
    void testSameCellIsRefusedWithBothValues() {
        OperatorTable theirs = TestTables.table(2, "billing 5 10", "plan 4 20");
        assertThat(
                conflict(TestTables.table(1, "billing 7 10", "plan 4 20"), theirs),
                containsString("row billing, column weight: in force '5', refused '7'"));
    }

    @Test
    void testRemovedAgainstChangedRowIsRefused() {
        OperatorTable changed = TestTables.table(2, "billing 5 10", "plan 4 20");
        OperatorTable removed = TestTables.table(2, "plan 4 20");
        assertThat(
                conflict(TestTables.table(1, "plan 4 20"), changed),
                containsString("row billing, column *: in force 'changed', refused 'removed'"));
        assertThat(
                conflict(TestTables.table(1, "billing 7 10", "plan 4 20"), removed),
                containsString("row billing, column *: in force 'removed', refused 'changed'"));
    }

    @Test
    void testRowAddedDifferentlyByBothIsRefused() {
        OperatorTable theirs = TestTables.table(2, "billing 3 10", "plan 4 20", "watch 1 1");
        assertThat(
                conflict(TestTables.table(1, "billing 3 10", "plan 4 20", "watch 2 1"), theirs),
                containsString("row watch, column weight: in force '1', refused '2'"));
    }

    @Test
    void testSameChangeByBothIsNoChange() {
        OperatorTable theirs = TestTables.table(2, "billing 5 10");
        assertThat(merge(TestTables.table(1, "billing 5 10"), theirs), empty());
    }

    private static List<RowChange> merge(OperatorTable mine, OperatorTable theirs) {
        return TableMerge.merge(new TableEdit(new EditId("e"), "ana", BASE, mine), theirs);
    }

    private static String conflict(OperatorTable mine, OperatorTable theirs) {
        DamasktillerException error =
                assertThrows(DamasktillerException.class, () -> merge(mine, theirs));
        assertThat(error.code(), is(ErrorCode.TABLE_CONFLICT));
        return String.valueOf(error.getMessage());
    }
}
