package org.damasktiller.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;

/** Writes tables as CSV that {@link TableReader} reads back. Thread-safe. */
public final class TableWriter {

    /** A row with the default value in each optional column. */
    private static final KindOfWork DEFAULT_ROW =
            KindOfWork.builder(new KindName("-"), new TenantName("-")).build();

    /** Formats lines of cells as CSV. */
    private static final ObjectWriter CSV_WRITER =
            new CsvMapper().writer(CsvSchema.emptySchema().withLineSeparator("\n"));

    /** Prevents instantiation. */
    private TableWriter() {}

    /**
     * Writes a whole table with all columns.
     *
     * @param table the table
     * @return the CSV in UTF-8
     */
    public static byte[] write(OperatorTable table) {
        return write(table.rows(), TableColumns.valueColumns());
    }

    /**
     * Writes rows and omits optional columns that have their default in all rows.
     *
     * @param rows the rows
     * @return the CSV in UTF-8
     */
    static byte[] writeCompact(List<KindOfWork> rows) {
        List<TableColumn<?>> columns = new ArrayList<>();
        for (TableColumn<?> column : TableColumns.valueColumns()) {
            String defaultText = column.text(DEFAULT_ROW);
            boolean needed = rows.stream().anyMatch(row -> !column.text(row).equals(defaultText));
            if (needed || column.header().equals(TableColumns.TENANT)) {
                columns.add(column);
            }
        }
        return write(rows, columns);
    }

    /**
     * Writes rows with the kind, which is their key, and the given columns.
     *
     * @param rows the rows
     * @param columns the columns after the key, in the order in which they are written
     * @return the CSV in UTF-8
     */
    private static byte[] write(List<KindOfWork> rows, List<TableColumn<?>> columns) {
        List<List<String>> lines = new ArrayList<>();
        List<String> headers = new ArrayList<>(List.of(TableColumns.KIND));
        columns.forEach(column -> headers.add(column.header()));
        lines.add(headers);
        for (KindOfWork row : rows) {
            List<String> cells = new ArrayList<>(List.of(row.name().value()));
            columns.forEach(column -> cells.add(column.text(row)));
            lines.add(cells);
        }
        try {
            return CSV_WRITER.writeValueAsString(lines).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("strings can always be written as CSV", e);
        }
    }
}
