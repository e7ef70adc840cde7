package org.damasktiller.table;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.KindName;

/** Changes single cells of a table by their text. */
public final class CellEdits {

    /** Prevents instantiation. */
    private CellEdits() {}

    /**
     * Changes one cell. The version stays that of the table, which is the base of the edit.
     *
     * @param table the table
     * @param kind the row
     * @param column the name of the column
     * @param text the wanted text of the cell
     * @return the table with the changed cell
     * @throws DamasktillerException with code UNKNOWN_KIND if there is no such row, or BAD_TABLE if
     *     there is no such column or it does not allow the text
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
        return table.with(table.version(), List.of(new RowChange(kind, before, after)));
    }

    /**
     * Reads a row again with one cell replaced.
     *
     * @param row the row
     * @param column the name of the column
     * @param text the wanted text of the cell
     * @return the row with the changed cell
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
