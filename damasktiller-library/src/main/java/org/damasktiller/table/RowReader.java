package org.damasktiller.table;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.jspecify.annotations.Nullable;

/** Converts the cells of CSV lines to rows, in the order of columns that the header row states. */
final class RowReader {

    /** The tenant of the builder until the required tenant column is read. */
    private static final TenantName PLACEHOLDER_TENANT = new TenantName("-");

    /**
     * The columns in the order of the file; null stands for the kind, which is the key of the row.
     */
    private final List<@Nullable TableColumn<?>> columns;

    /**
     * Reads the header row.
     *
     * @param headers the names of the columns, in the order of the file
     */
    RowReader(List<String> headers) {
        columns = new ArrayList<>();
        Set<String> seenHeaders = new HashSet<>();
        for (String header : headers) {
            boolean isKey = header.equals(TableColumns.KIND);
            if (!isKey && TableColumns.findValueColumn(header).isEmpty()) {
                throw TableErrors.badCell(
                        "1", header, header, "a column of " + TableColumns.headers());
            }
            if (!seenHeaders.add(header)) {
                throw TableErrors.badCell("1", header, header, "each column once");
            }
            columns.add(isKey ? null : TableColumns.findValueColumn(header).orElseThrow());
        }
        for (String required : List.of(TableColumns.KIND, TableColumns.TENANT)) {
            if (!seenHeaders.contains(required)) {
                throw TableErrors.badCell("1", required, "", "that the column is present");
            }
        }
    }

    /**
     * Reads one row. An empty cell gives the column its default.
     *
     * @param rowNumber the number of the row in the file; the header row is 1
     * @param cells the texts of the cells, trimmed
     * @return the row
     */
    KindOfWork read(int rowNumber, List<String> cells) {
        if (cells.size() != columns.size()) {
            throw TableErrors.badTable(
                    "row "
                            + rowNumber
                            + " has "
                            + cells.size()
                            + " cells, allowed is "
                            + columns.size()
                            + " as in the header row");
        }
        KindName name = readKind(rowNumber, cells);
        KindOfWork.Builder builder = KindOfWork.builder(name, PLACEHOLDER_TENANT);
        for (int index = 0; index < columns.size(); index++) {
            TableColumn<?> column = columns.get(index);
            if (column != null) {
                readCell(rowNumber + " (" + name + ")", column, cells.get(index), builder);
            }
        }
        return builder.build();
    }

    /**
     * Reads the key of a row.
     *
     * @param rowNumber the number of the row; the header row is 1
     * @param cells the texts of the cells, trimmed
     * @return the kind of the row
     */
    private KindName readKind(int rowNumber, List<String> cells) {
        String text = cells.get(columns.indexOf(null));
        try {
            return TableColumns.KIND_FORMAT.parse(text);
        } catch (IllegalArgumentException e) {
            throw TableErrors.badCell(
                    Integer.toString(rowNumber),
                    TableColumns.KIND,
                    text,
                    TableColumns.KIND_FORMAT.allowed());
        }
    }

    /**
     * Parses one cell and sets its value in the builder.
     *
     * @param rowLabel the row number and the kind of the row, for error messages
     * @param column the column
     * @param text the text of the cell
     * @param builder the builder of the row
     */
    private static void readCell(
            String rowLabel, TableColumn<?> column, String text, KindOfWork.Builder builder) {
        if (text.isEmpty() && !column.header().equals(TableColumns.TENANT)) {
            return;
        }
        try {
            column.apply(builder, text);
        } catch (IllegalArgumentException e) {
            throw TableErrors.badCell(rowLabel, column.header(), text, column.allowed());
        }
    }
}
