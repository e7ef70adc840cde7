package org.damasktiller.table;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.KindName;
import org.jspecify.annotations.Nullable;

/**
 * Merges an edit into the current table: a three-way merge by row and cell. Rows keep their order;
 * new rows are appended at the end.
 */
final class TableMerge {

    /** The text in a conflict for a row that an operator removed. */
    private static final String REMOVED = "removed";

    /** The text in a conflict for a row that an operator changed and did not remove. */
    private static final String CHANGED = "changed";

    /** The table that the operator edited, the common ancestor of the other two. */
    private final OperatorTable baseTable;

    /** The base with the operator's changes. */
    private final OperatorTable wantedTable;

    /** The current table, which may contain changes made since the base. */
    private final OperatorTable currentTable;

    /** The changes that apply the edit to the current table. */
    private final List<RowChange> changes = new ArrayList<>();

    /** The cells to which two operators gave different values. */
    private final List<CellConflict> conflicts = new ArrayList<>();

    /**
     * Creates a merge.
     *
     * @param baseTable the table that the operator edited
     * @param wantedTable the base with the operator's changes
     * @param currentTable the current table
     */
    private TableMerge(
            OperatorTable baseTable, OperatorTable wantedTable, OperatorTable currentTable) {
        this.baseTable = baseTable;
        this.wantedTable = wantedTable;
        this.currentTable = currentTable;
    }

    /**
     * Merges an edit into the current table.
     *
     * @param edit the edit
     * @param currentTable the current table
     * @return the changes that apply the edit to the current table; empty if the table already
     *     contains them
     * @throws org.damasktiller.error.DamasktillerException with code TABLE_CONFLICT if a cell that
     *     the edit changes was given another value since the base; the message shows both values of
     *     each such cell
     */
    static List<RowChange> merge(TableEdit edit, OperatorTable currentTable) {
        TableMerge merge = new TableMerge(edit.base(), edit.wanted(), currentTable);
        merge.mergeRows();
        if (!merge.conflicts.isEmpty()) {
            throw TableErrors.error(
                    ErrorCode.TABLE_CONFLICT,
                    "changed by another operator since version "
                            + edit.base().version()
                            + ": "
                            + String.join(
                                    "; ", merge.conflicts.stream().map(Object::toString).toList()));
        }
        return merge.changes;
    }

    /** Merges every row that occurs in any of the three tables. */
    private void mergeRows() {
        Set<KindName> kinds = new LinkedHashSet<>();
        currentTable.rows().forEach(row -> kinds.add(row.name()));
        wantedTable.rows().forEach(row -> kinds.add(row.name()));
        baseTable.rows().forEach(row -> kinds.add(row.name()));
        for (KindName kind : kinds) {
            mergeRow(
                    kind,
                    baseTable.row(kind).orElse(null),
                    wantedTable.row(kind).orElse(null),
                    currentTable.row(kind).orElse(null));
        }
    }

    /**
     * Merges one row.
     *
     * @param kind the key of the row
     * @param baseRow the row in the base, or null if it has none
     * @param wantedRow the row in the operator's table, or null if it has none
     * @param currentRow the row in the current table, or null if it has none
     */
    private void mergeRow(
            KindName kind,
            @Nullable KindOfWork baseRow,
            @Nullable KindOfWork wantedRow,
            @Nullable KindOfWork currentRow) {
        if (Objects.equals(wantedRow, baseRow) || Objects.equals(wantedRow, currentRow)) {
            return;
        }
        if (Objects.equals(currentRow, baseRow)) {
            changes.add(new RowChange(kind, currentRow, wantedRow));
            return;
        }
        if (wantedRow == null || currentRow == null) {
            conflicts.add(
                    new CellConflict(
                            kind,
                            CellConflict.WHOLE_ROW,
                            currentRow == null ? REMOVED : CHANGED,
                            wantedRow == null ? REMOVED : CHANGED));
            return;
        }
        KindOfWork merged = mergeCells(baseRow, wantedRow, currentRow);
        if (!merged.equals(currentRow)) {
            changes.add(new RowChange(kind, currentRow, merged));
        }
    }

    /**
     * Merges the cells of a row that both operators changed or added.
     *
     * @param baseRow the row in the base, or null if both operators added the row
     * @param wantedRow the row in the operator's table
     * @param currentRow the row in the current table
     * @return the merged row; unspecified for a cell for which a conflict was recorded
     */
    private KindOfWork mergeCells(
            @Nullable KindOfWork baseRow, KindOfWork wantedRow, KindOfWork currentRow) {
        KindOfWork.Builder builder = KindOfWork.builder(currentRow.name(), currentRow.tenant());
        for (TableColumn<?> column : TableColumns.valueColumns()) {
            String baseText = baseRow == null ? null : column.text(baseRow);
            String wantedText = column.text(wantedRow);
            String currentText = column.text(currentRow);
            boolean unchanged = wantedText.equals(baseText);
            if (!unchanged && !wantedText.equals(currentText) && !currentText.equals(baseText)) {
                conflicts.add(
                        new CellConflict(
                                currentRow.name(), column.header(), currentText, wantedText));
            }
            column.apply(builder, unchanged ? currentText : wantedText);
        }
        return builder.build();
    }
}
