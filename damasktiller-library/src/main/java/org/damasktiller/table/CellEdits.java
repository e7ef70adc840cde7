package org.damasktiller.table;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.KindName;

/** Creates copies of a table in which one cell is replaced, given its text. */
public final class CellEdits {

    /** Prevents instantiation. */
    private CellEdits() {}

    /**
     * Replaces one cell. The result keeps the version of the table, since an edit is submitted
     * together with the version on which it is based.
     *
     * @param table the table to copy
     * @param kind the key of the row
     * @param column the header of the column
     * @param text the new text of the cell
     * @return a copy of the table with the new cell
     * @throws DamasktillerException with code UNKNOWN_KIND if the table has no such row, or
     *     BAD_TABLE if the column does not exist or does not allow the text
     */
    public static OperatorTable withCell(
            OperatorTable table, KindName kind, String column, String text) {
        KindOfWork before =
                table.row(kind)
                        .orElseThrow(
                                () ->
                                        new DamasktillerException(
                                                ErrorCode.UNKNOWN_KIND,
                                                Operation.TABLE,
                                                "",
                                                Outcome.NOT_RUN,
                                                "the table has no row " + kind));
        if (TableColumns.findValueColumn(column).isEmpty()) {
            throw TableErrors.badCell(
                    kind.value(), column, text, "a column of " + TableColumns.headers());
        }
        KindOfWork after = replaceCell(before, column, text);
        return table.withChanges(table.version(), List.of(new RowChange(kind, before, after)));
    }

    /**
     * Replaces one cell of a row by parsing the texts of all its cells again.
     *
     * @param row the row to copy
     * @param column the header of the column
     * @param text the new text of the cell
     * @return a copy of the row with the new cell
     */
    private static KindOfWork replaceCell(KindOfWork row, String column, String text) {
        List<String> headers = new ArrayList<>(List.of(TableColumns.KIND));
        List<String> cells = new ArrayList<>(List.of(row.name().value()));
        for (TableColumn<?> each : TableColumns.valueColumns()) {
            headers.add(each.header());
            cells.add(each.header().equals(column) ? text : each.text(row));
        }
        return new RowReader(headers).read(1, cells);
    }
}
