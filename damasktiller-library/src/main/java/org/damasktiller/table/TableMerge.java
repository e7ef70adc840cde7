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
    private final OperatorTable base;

    /** The base with the operator's changes. */
    private final OperatorTable mine;

    /** The current table, which may contain changes made since the base. */
    private final OperatorTable theirs;

    /** The changes that apply the edit to the current table. */
    private final List<RowChange> changes = new ArrayList<>();

    /** The cells to which two operators gave different values. */
    private final List<CellConflict> conflicts = new ArrayList<>();

    /**
     * Creates a merge.
     *
     * @param base the table that the operator edited
     * @param mine the base with the operator's changes
     * @param theirs the current table
     */
    private TableMerge(OperatorTable base, OperatorTable mine, OperatorTable theirs) {
        this.base = base;
        this.mine = mine;
        this.theirs = theirs;
    }

    /**
     * Merges an edit into the current table.
     *
     * @param edit the edit
     * @param theirs the current table
     * @return the changes that apply the edit to the current table; empty if the table already
     *     contains them
     * @throws org.damasktiller.error.DamasktillerException with code TABLE_CONFLICT if a cell that
     *     the edit changes was given another value since the base; the message shows both values of
     *     each such cell
     */
    static List<RowChange> merge(TableEdit edit, OperatorTable theirs) {
        TableMerge merge = new TableMerge(edit.base(), edit.wanted(), theirs);
        merge.run();
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
    private void run() {
        Set<KindName> kinds = new LinkedHashSet<>();
        theirs.rows().forEach(row -> kinds.add(row.name()));
        mine.rows().forEach(row -> kinds.add(row.name()));
        base.rows().forEach(row -> kinds.add(row.name()));
        for (KindName kind : kinds) {
            mergeRow(
                    kind,
                    base.row(kind).orElse(null),
                    mine.row(kind).orElse(null),
                    theirs.row(kind).orElse(null));
        }
    }

    /**
     * Merges one row.
     *
     * @param kind the key of the row
     * @param old the row in the base, or null if it has none
     * @param wanted the row in the operator's table, or null if it has none
     * @param current the row in the current table, or null if it has none
     */
    private void mergeRow(
            KindName kind,
            @Nullable KindOfWork old,
            @Nullable KindOfWork wanted,
            @Nullable KindOfWork current) {
        if (Objects.equals(wanted, old) || Objects.equals(wanted, current)) {
            return;
        }
        if (Objects.equals(current, old)) {
            changes.add(new RowChange(kind, current, wanted));
            return;
        }
        if (wanted == null || current == null) {
            conflicts.add(
                    new CellConflict(
                            kind,
                            CellConflict.WHOLE_ROW,
                            current == null ? REMOVED : CHANGED,
                            wanted == null ? REMOVED : CHANGED));
            return;
        }
        KindOfWork merged = mergeCells(old, wanted, current);
        if (!merged.equals(current)) {
            changes.add(new RowChange(kind, current, merged));
        }
    }

    /**
     * Merges the cells of a row that both operators changed or added.
     *
     * @param old the row in the base, or null if both operators added the row
     * @param wanted the row in the operator's table
     * @param current the row in the current table
     * @return the merged row; unspecified for a cell for which a conflict was recorded
     */
    private KindOfWork mergeCells(@Nullable KindOfWork old, KindOfWork wanted, KindOfWork current) {
        KindOfWork.Builder builder = KindOfWork.builder(current.name(), current.tenant());
        for (TableColumn<?> column : TableColumns.cells()) {
            String before = old == null ? null : column.text(old);
            String mineText = column.text(wanted);
            String theirText = column.text(current);
            boolean unchanged = mineText.equals(before);
            if (!unchanged && !mineText.equals(theirText) && !theirText.equals(before)) {
                conflicts.add(
                        new CellConflict(current.name(), column.header(), theirText, mineText));
            }
            column.apply(builder, unchanged ? theirText : mineText);
        }
        return builder.build();
    }
}
