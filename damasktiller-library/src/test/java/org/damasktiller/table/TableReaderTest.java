package org.damasktiller.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Set;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.ZoneName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TableReaderTest {

    private static final ZoneName FIRST = new ZoneName("leinster-1");
    private static final ZoneName SECOND = new ZoneName("leinster-2");

    private final TableReader reader = new TableReader(Set.of(FIRST, SECOND));

    @Test
    void testReadsCellsAndDefaults() throws IOException {
        OperatorTable table = reader.read(resource("good.csv"), 7);
        KindOfWork billing = table.row(new KindName("billing")).orElseThrow();
        KindOfWork plan = table.row(new KindName("route-plan")).orElseThrow();
        assertThat(table.version(), is(7L));
        assertThat(billing.minimumSharePercent(), is(10));
        assertThat(billing.declaredResources().memoryMegabytes(), is(1000L));
        assertThat(billing.allowedZones(), contains(FIRST, SECOND));
        assertThat(plan.runningLimit(), is(0));
        assertThat(plan.runTimeMillis(), is(900_000L));
        assertThat(plan.allowedZones(), empty());
    }

    @Test
    void testAcceptsSpreadsheetExport() throws IOException {
        assertThat(reader.read(resource("spreadsheet.csv"), 1).rows().size(), is(1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            quoteCharacter = '"',
            value = {
                "unclosed-quote.csv;row 2 is not CSV",
                "missing-cells.csv;row 2 has 2 cells, allowed is 7",
                "unknown-column.csv;row 1, column wieght, value 'wieght': allowed is a column of",
                "missing-column.csv;row 1, column tenant, value '': allowed is that the column",
                "repeated-column.csv;row 1, column tenant, value 'tenant': allowed is each column",
                "wrong-unit.csv;row 2 (billing), column memory, value '512 miles': allowed is a",
                "negative-limit.csv;row 2 (billing), column limit_running, value '-5': allowed is"
                        + " a whole number from 0 to 1000000",
                "weight-out-of-range.csv;row 2 (billing), column weight, value '1001': allowed is"
                        + " a whole number from 1 to 1000",
                "duplicate-row.csv;row 4, column kind, value 'billing': allowed is each kind once",
                "impossible-place.csv;row 2 (billing), column place, value"
                        + " 'leinster-1|atlantis-1': allowed is any or zones of [leinster-1,",
                "any-among-zones.csv;row 2 (billing), column place, value 'any|leinster-1'",
                "shares-over-whole.csv;row 3 (route-plan), column minimum_share, value '41%':"
                        + " allowed is at most 40%",
                "tenant-limits-differ.csv;row 3 (closing), column tenant_limit_running, value"
                        + " '61': allowed is 60",
                "formula.csv;row 2, column kind, value '=SUM(A1)': allowed is 1 to 63 letters"
            })
    void testRefusesBadTable(String file, String message) throws IOException {
        byte[] csv = resource(file);
        DamasktillerException error =
                assertThrows(DamasktillerException.class, () -> reader.read(csv, 1));
        assertThat(error.code(), is(ErrorCode.BAD_TABLE));
        assertThat(error.outcome(), is(Outcome.NOT_RUN));
        assertThat(error.getMessage(), startsWith(message));
    }

    /** Spreadsheets show blank rows, so that an error must name the row as they count it. */
    @Test
    void testNumbersRowsWithBlankOnes() {
        String csv = "kind,tenant,place\n\n,,\nbilling,finance,atlantis-1\n";
        DamasktillerException error =
                assertThrows(
                        DamasktillerException.class,
                        () -> reader.read(csv.getBytes(StandardCharsets.UTF_8), 1));
        assertThat(error.getMessage(), startsWith("row 4 (billing), column place"));
    }

    @Test
    void testRefusesBrokenEncoding() throws IOException {
        byte[] csv = resource("broken-utf8.csv");
        DamasktillerException error =
                assertThrows(DamasktillerException.class, () -> reader.read(csv, 1));
        assertThat(error.code(), is(ErrorCode.BAD_ENCODING));
    }

    @Test
    void testRefusesTooLargeTable() {
        byte[] csv = new byte[TableReader.MAXIMUM_BYTES + 1];
        DamasktillerException error =
                assertThrows(DamasktillerException.class, () -> reader.read(csv, 1));
        assertThat(error.code(), is(ErrorCode.BODY_TOO_LARGE));
    }

    @ParameterizedTest
    @ValueSource(strings = {"corrib.csv", "carpatica.csv"})
    void testExampleReadsBackAsWritten(String file) throws IOException {
        byte[] csv = Files.readAllBytes(Path.of("..", "examples", file));
        OperatorTable table = new TableReader(Set.of()).read(csv, 1);
        OperatorTable again = new TableReader(Set.of()).read(TableWriter.write(table), 1);
        byte[] compact = TableWriter.writeCompact(table.rows());
        assertThat(again, is(table));
        assertThat(TableReader.readRows(compact), is(table.rows()));
        assertThat(again.digest(), is(table.digest()));
    }

    private static byte[] resource(String name) throws IOException {
        try (InputStream stream = TableReaderTest.class.getResourceAsStream(name)) {
            return Objects.requireNonNull(stream).readAllBytes();
        }
    }
}
