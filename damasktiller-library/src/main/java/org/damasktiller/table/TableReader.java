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

/** Reads and validates tables in CSV. Thread-safe. */
public final class TableReader {

    /**
     * The largest table accepted, in bytes of CSV; leaves room for the rest of the stored record.
     */
    public static final int MAXIMUM_BYTES = 800_000;

    /** The byte order mark that spreadsheet programs write before UTF-8 text. */
    private static final String BYTE_ORDER_MARK = "\uFEFF";

    /** Parses CSV into lines of cells. */
    private static final ObjectReader CSV_READER =
            new CsvMapper()
                    .readerFor(String[].class)
                    .with(CsvParser.Feature.WRAP_AS_ARRAY)
                    .with(CsvParser.Feature.TRIM_SPACES);

    /** Validates whole tables. */
    private final TableValidator validator;

    /**
     * Creates a reader.
     *
     * @param zones the availability zones that exist, or an empty set to accept any name
     */
    public TableReader(Set<ZoneName> zones) {
        validator = new TableValidator(zones);
    }

    /**
     * Reads and validates a whole table. Columns may be in any order, and all columns except kind
     * and tenant are optional. An empty cell gives the column its default.
     *
     * @param csv the table as CSV in UTF-8, with the column names in the header row
     * @param version the version of the returned table, not negative
     * @return the table
     * @throws org.damasktiller.error.DamasktillerException with code BODY_TOO_LARGE if the CSV is
     *     larger than {@link #MAXIMUM_BYTES}, BAD_ENCODING if it is not UTF-8, or BAD_TABLE if the
     *     table is invalid; the message names the row, column, value and allowed values
     */
    public OperatorTable read(byte[] csv, long version) {
        Map<KindName, Integer> rowNumbers = new HashMap<>();
        List<KindOfWork> rows = readRows(csv, rowNumbers);
        validator.validate(rows, row -> rowNumbers.getOrDefault(row.name(), 0));
        return OperatorTable.of(version, rows);
    }

    /**
     * Returns the validator of whole tables, for tables that were changed without CSV.
     *
     * @return the validator
     */
    TableValidator validator() {
        return validator;
    }

    /**
     * Reads rows without validating the table as a whole.
     *
     * @param csv the rows as CSV in UTF-8, with the column names in the header row
     * @return the rows, in the order of the file
     */
    static List<KindOfWork> readRows(byte[] csv) {
        return readRows(csv, new HashMap<>());
    }

    /**
     * Reads rows without validating the table as a whole.
     *
     * @param csv the rows as CSV in UTF-8, with the column names in the header row
     * @param rowNumbers receives the number of each row in the file by its kind; the header row is
     *     1, and blank rows count
     * @return the rows, in the order of the file
     */
    private static List<KindOfWork> readRows(byte[] csv, Map<KindName, Integer> rowNumbers) {
        if (csv.length > MAXIMUM_BYTES) {
            throw TableErrors.error(
                    ErrorCode.BODY_TOO_LARGE,
                    "table of " + csv.length + " bytes, allowed is at most " + MAXIMUM_BYTES);
        }
        List<List<String>> lines = parseCsv(decode(csv));
        if (lines.isEmpty()) {
            throw TableErrors.badTable(
                    "row 1 is missing, allowed is a header row with the column names");
        }
        RowReader reader = new RowReader(lines.get(0));
        List<KindOfWork> rows = new ArrayList<>();
        for (int index = 1; index < lines.size(); index++) {
            if (lines.get(index).stream().allMatch(String::isEmpty)) {
                continue;
            }
            KindOfWork row = reader.read(index + 1, lines.get(index));
            requireUniqueKind(index + 1, row.name(), rowNumbers);
            rows.add(row);
        }
        return rows;
    }

    /**
     * Rejects a kind that an earlier row defines.
     *
     * @param rowNumber the number of the row; the header row is 1
     * @param name the kind of the row
     * @param rowNumbers the row numbers of the kinds read so far; the kind is added
     */
    private static void requireUniqueKind(
            int rowNumber, KindName name, Map<KindName, Integer> rowNumbers) {
        Integer firstRowNumber = rowNumbers.putIfAbsent(name, rowNumber);
        if (firstRowNumber != null) {
            throw TableErrors.badCell(
                    Integer.toString(rowNumber),
                    TableColumns.KIND,
                    name.value(),
                    "each kind once; it is already defined in row " + firstRowNumber);
        }
    }

    /**
     * Decodes UTF-8 and rejects malformed input.
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
     * Parses CSV into the trimmed texts of its cells.
     *
     * @param text the CSV
     * @return the cells of each line
     */
    private static List<List<String>> parseCsv(String text) {
        List<List<String>> lines = new ArrayList<>();
        try (MappingIterator<String[]> iterator = CSV_READER.readValues(text)) {
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
