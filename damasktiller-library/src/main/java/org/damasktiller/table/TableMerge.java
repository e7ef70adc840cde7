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
 * Merges an edit into the table in force by row and cell. Rows keep their order; a new row comes
 * last.
 */
final class TableMerge {

    /** The text shown for a row that an operator removed. */
    private static final String REMOVED = "removed";

    /** The text shown for a row that an operator kept and changed. */
    private static final String CHANGED = "changed";

    /** The table from which the operator started. */
    private final OperatorTable base;

    /** The table that the operator wants. */
    private final OperatorTable mine;

    /** The table in force. */
    private final OperatorTable theirs;

    /** The changes to the table in force. */
    private final List<RowChange> changes = new ArrayList<>();

    /** The cells changed differently by two operators. */
    private final List<CellConflict> conflicts = new ArrayList<>();

    /**
     * Creates a merge.
     *
     * @param base the table from which the operator started
     * @param mine the table that the operator wants
     * @param theirs the table in force
     */
    private TableMerge(OperatorTable base, OperatorTable mine, OperatorTable theirs) {
        this.base = base;
        this.mine = mine;
        this.theirs = theirs;
    }

    /**
     * Merges an edit into the table in force.
     *
     * @param edit the edit
     * @param theirs the table in force
     * @return the changes to the table in force; empty if it already holds the edit
     * @throws org.damasktiller.error.DamasktillerException with code TABLE_CONFLICT if a cell was
     *     changed differently since the base; the message shows both values of each such cell
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

    /** Merges each row of any of the three tables. */
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
     * @param old the row of the base, or null
     * @param wanted the row that the operator wants, or null
     * @param current the row in force, or null
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
     * Merges the cells of a row that both operators changed.
     *
     * @param old the row of the base, or null if both added it
     * @param wanted the row that the operator wants
     * @param current the row in force
     * @return the merged row
     */
    private KindOfWork mergeCells(@Nullable KindOfWork old, KindOfWork wanted, KindOfWork current) {
        KindOfWork.Builder builder = KindOfWork.builder(current.name(), current.tenant());
        for (TableColumn<?> column : TableColumns.valueColumns()) {
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
