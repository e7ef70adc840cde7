package org.damasktiller.table;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.ZoneName;

/** Reads and checks tables in CSV. Safe for use by several threads. */
public final class TableReader {

    /** The largest table accepted, in bytes of CSV; leaves room for its record in the store. */
    public static final int MAXIMUM_BYTES = 800_000;

    /** The mark that spreadsheet programs put before UTF-8 text. */
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /** Splits CSV into cells. */
    private static final ObjectReader CELLS =
            new CsvMapper()
                    .readerFor(String[].class)
                    .with(CsvParser.Feature.WRAP_AS_ARRAY)
                    .with(CsvParser.Feature.TRIM_SPACES);

    /** The rules for whole tables. */
    private final TableRules rules;

    /**
     * Creates a reader.
     *
     * @param zones the availability zones that exist, or an empty set to accept any name
     */
    public TableReader(Set<ZoneName> zones) {
        rules = new TableRules(zones);
    }

    /**
     * Reads a whole table. Columns may stand in any order and, but for kind and tenant, be left
     * out; an empty cell holds the default of its column.
     *
     * @param csv the table as CSV in UTF-8, with the names of the columns in the first line
     * @param version the version to give to the table, not negative
     * @return the table
     * @throws org.damasktiller.error.DamasktillerException with code BAD_ENCODING if the text is
     *     not UTF-8, BODY_TOO_LARGE if it is above {@link #MAXIMUM_BYTES}, else BAD_TABLE if it is
     *     not a table; the message names row, column, value and what is allowed
     */
    public OperatorTable read(byte[] csv, long version) {
        List<KindOfWork> rows = readRows(csv);
        rules.check(rows);
        return OperatorTable.of(version, rows);
    }

    /**
     * Returns the rules that whole tables have to meet.
     *
     * @return the rules
     */
    TableRules rules() {
        return rules;
    }

    /**
     * Reads rows without the checks that need a whole table.
     *
     * @param csv the rows as CSV in UTF-8, with the names of the columns in the first line
     * @return the rows
     */
    static List<KindOfWork> readRows(byte[] csv) {
        if (csv.length > MAXIMUM_BYTES) {
            throw TableErrors.error(
                    ErrorCode.BODY_TOO_LARGE,
                    "table of " + csv.length + " bytes, allowed is " + MAXIMUM_BYTES);
        }
        List<List<String>> lines = split(decode(csv));
        if (lines.isEmpty()) {
            throw TableErrors.badTable("row 1 is missing, allowed is a line with the columns");
        }
        RowReader reader = new RowReader(lines.get(0));
        List<KindOfWork> rows = new ArrayList<>();
        Map<KindName, Integer> seen = new HashMap<>();
        for (int index = 1; index < lines.size(); index++) {
            if (lines.get(index).stream().allMatch(String::isEmpty)) {
                continue;
            }
            KindOfWork row = reader.read(index + 1, lines.get(index));
            checkFirst(index + 1, row.name(), seen);
            rows.add(row);
        }
        return rows;
    }

    /**
     * Checks that a kind has not been read before.
     *
     * @param number the number of the row
     * @param name the kind
     * @param seen the rows read before
     */
    private static void checkFirst(int number, KindName name, Map<KindName, Integer> seen) {
        Integer before = seen.putIfAbsent(name, number);
        if (before != null) {
            throw TableErrors.badCell(
                    Integer.toString(number),
                    TableColumns.KIND,
                    name.value(),
                    "each kind once; it stands in row " + before);
        }
    }

    /**
     * Decodes UTF-8 strictly.
     *
     * @param csv the bytes
     * @return the text without a byte order mark
     */
    private static String decode(byte[] csv) {
        try {
            String text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(csv)).toString();
            return text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
        } catch (CharacterCodingException e) {
            throw TableErrors.error(
                    ErrorCode.BAD_ENCODING, "the table is not valid UTF-8; allowed is UTF-8 only");
        }
    }

    /**
     * Splits CSV into the trimmed texts of its cells.
     *
     * @param text the CSV
     * @return the cells of each line
     */
    private static List<List<String>> split(String text) {
        List<List<String>> lines = new ArrayList<>();
        try (MappingIterator<String[]> iterator = CELLS.readValues(text)) {
            while (iterator.hasNextValue()) {
                lines.add(Stream.of(iterator.nextValue()).map(String::trim).toList());
            }
        } catch (IOException e) {
            throw TableErrors.badTable(
                    "row "
                            + (lines.size() + 1)
                            + " is not CSV; allowed are cells separated by"
                            + " commas, quotes closed and doubled within quotes");
        }
        return lines;
    }
}
