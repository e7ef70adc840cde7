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
        OperatorTable currentTable = TestTables.table(2, "billing 5 10", "plan 4 20");
        List<RowChange> changes =
                merge(TestTables.table(1, "billing 3 11", "plan 4 20"), currentTable);
        assertThat(
                currentTable.withChanges(3, changes),
                is(TestTables.table(3, "billing 5 11", "plan 4 20")));
    }

    @Test
    void testSameCellIsRefusedWithBothValues() {
        OperatorTable currentTable = TestTables.table(2, "billing 5 10", "plan 4 20");
        assertThat(
                conflict(TestTables.table(1, "billing 7 10", "plan 4 20"), currentTable),
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
        OperatorTable currentTable = TestTables.table(2, "billing 3 10", "plan 4 20", "watch 1 1");
        assertThat(
                conflict(
                        TestTables.table(1, "billing 3 10", "plan 4 20", "watch 2 1"),
                        currentTable),
                containsString("row watch, column weight: in force '1', refused '2'"));
    }

    @Test
    void testSameChangeByBothIsNoChange() {
        OperatorTable currentTable = TestTables.table(2, "billing 5 10");
        assertThat(merge(TestTables.table(1, "billing 5 10"), currentTable), empty());
    }

    private static List<RowChange> merge(OperatorTable wantedTable, OperatorTable currentTable) {
        return TableMerge.merge(
                new TableEdit(new EditId("e"), "ana", BASE, wantedTable), currentTable);
    }

    private static String conflict(OperatorTable wantedTable, OperatorTable currentTable) {
        DamasktillerException error =
                assertThrows(DamasktillerException.class, () -> merge(wantedTable, currentTable));
        assertThat(error.code(), is(ErrorCode.TABLE_CONFLICT));
        return String.valueOf(error.getMessage());
    }
}
