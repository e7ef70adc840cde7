package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Set;
import java.util.UUID;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.lab.settings.Settings;
import org.damasktiller.lab.table.TableManifest;
import org.damasktiller.lab.table.TableSession;
import org.damasktiller.platform.emulator.PlatformRecordEncoder;
import org.damasktiller.platform.settings.Addresses;
import org.damasktiller.table.CellEdits;
import org.damasktiller.table.EditId;
import org.damasktiller.table.EditResult;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.RowChange;
import org.damasktiller.table.TableDelta;
import org.damasktiller.table.TableEdit;
import org.damasktiller.table.TableReader;
import org.damasktiller.table.TableWriter;

/**
 * Checks a table and prints the manifest that its rows make, and reads and edits the table that
 * operators share in the platform's store.
 */
@Parameters(
        commandNames = "table",
        commandDescription = "Check, print and edit the table: manifest, get, put, edit, history")
public final class TableCommand implements Command {

    /** The actions. */
    private static final String ALLOWED = "manifest, get, put, edit or history";

    /** The number of edits that the history prints. */
    private static final int HISTORY_EDITS = 50;

    /** What to do. */
    @Parameter(description = "manifest|get|put|edit|history")
    private String action = "manifest";

    /** The file with the table. */
    @Parameter(names = "--table", description = "File with the table as CSV")
    private String table = "";

    /** The address of the store. */
    @Parameter(names = "--store", description = "Address of the platform's store, IP:PORT")
    private String store = "";

    /** The deployment. */
    @Parameter(
            names = "--deployment",
            description = "Deployment whose zones the table may name: CORRIB or CARPATICA")
    private Deployment deployment = Deployment.CORRIB;

    /** The service of the routes. */
    @Parameter(names = "--service", description = "Service whose workers run the rows")
    private String service = "workers";

    /** The version of the manifest. */
    @Parameter(names = "--manifest-version", description = "Version of the manifest")
    private long version = 1;

    /** The version from which an edit started. */
    @Parameter(
            names = "--base",
            description = "Version from which the edit started; 0 takes the present one")
    private long base;

    /** The row to edit. */
    @Parameter(names = "--kind", description = "Kind of work, the row to edit")
    private String kind = "";

    /** The column to edit. */
    @Parameter(names = "--column", description = "Column to edit")
    private String column = "";

    /** The wanted text of the cell. */
    @Parameter(names = "--value", description = "Wanted text of the cell")
    private String value = "";

    /** The identity of the edit. */
    @Parameter(
            names = "--edit-id",
            description = "Identity of the edit; the same one repeats an edit safely")
    private String editId = "";

    /** The name of the operator. */
    @Parameter(names = "--operator", description = "Name of the operator, kept in the history")
    private String operator = "operator";

    /** Creates the command. */
    public TableCommand() {}

    @Override
    public String name() {
        return "table";
    }

    @Override
    public ExitCode run(PrintStream output) {
        if (action.equals("manifest") && store.isEmpty()) {
            printManifest(output, read(table, deployment));
            return ExitCode.SUCCESS;
        }
        InetSocketAddress address = Addresses.parse(store);
        if (address == null) {
            throw Settings.refused("--store", store, "IP:PORT", null);
        }
        Set<ZoneName> zones = deployment.zones().keySet();
        try (TableSession session = new TableSession(address, zones)) {
            act(session, output);
        }
        return ExitCode.SUCCESS;
    }

    /**
     * Reads a file with a table.
     *
     * @param file the path of the file
     * @param deployment the deployment whose zones the table may name
     * @return the table
     * @throws org.damasktiller.error.DamasktillerException with code BAD_TABLE and the faulty cell,
     *     or BAD_SETTING if the file can't be read
     */
    static OperatorTable read(String file, Deployment deployment) {
        return new TableReader(deployment.zones().keySet()).read(bytes(file), 0);
    }

    /**
     * Does what was asked with the table in the store.
     *
     * @param session the connection to the table
     * @param output where results go
     */
    private void act(TableSession session, PrintStream output) {
        switch (action) {
            case "manifest" -> printManifest(output, session.call(tables -> tables.read()));
            case "get" ->
                    output.print(
                            new String(
                                    TableWriter.write(session.call(tables -> tables.read())),
                                    StandardCharsets.UTF_8));
            case "put" -> printResult(output, put(session));
            case "edit" -> printResult(output, edit(session));
            case "history" ->
                    session.call(tables -> tables.history(HISTORY_EDITS))
                            .forEach(delta -> printEdit(output, delta));
            default -> throw Settings.refused("table", action, ALLOWED, null);
        }
    }

    /**
     * Puts a whole table; cells that others changed meanwhile are merged.
     *
     * @param session the connection to the table
     * @return what changed
     */
    private EditResult put(TableSession session) {
        byte[] csv = bytes(table);
        long from = base == 0 ? session.call(tables -> tables.read()).version() : base;
        return session.call(tables -> tables.put(identity(), operator, from, csv));
    }

    /**
     * Edits one cell.
     *
     * @param session the connection to the table
     * @return what changed
     */
    private EditResult edit(TableSession session) {
        OperatorTable from =
                base == 0
                        ? session.call(tables -> tables.read())
                        : session.call(tables -> tables.readAt(base));
        OperatorTable wanted = CellEdits.withCell(from, new KindName(kind), column, value);
        return session.call(
                tables -> tables.edit(new TableEdit(identity(), operator, from, wanted)));
    }

    /**
     * Returns the identity of the edit.
     *
     * @return the one given, or a new one
     */
    private EditId identity() {
        return new EditId(editId.isEmpty() ? UUID.randomUUID().toString() : editId);
    }

    /**
     * Prints the manifest of a table.
     *
     * @param output where it goes
     * @param rows the table
     */
    private void printManifest(PrintStream output, OperatorTable rows) {
        byte[] text =
                PlatformRecordEncoder.encodeManifest(TableManifest.of(rows, service, version));
        output.println(new String(text, StandardCharsets.UTF_8));
    }

    /**
     * Prints what an edit changed.
     *
     * @param output where it goes
     * @param result the result
     */
    private static void printResult(PrintStream output, EditResult result) {
        output.println("accepted as version " + result.version());
        result.changes().stream()
                .map(RowChange::describe)
                .forEach(line -> output.println("  " + line));
    }

    /**
     * Prints one edit of the history.
     *
     * @param output where it goes
     * @param delta the edit
     */
    private static void printEdit(PrintStream output, TableDelta delta) {
        output.println(
                delta.version()
                        + "  "
                        + Instant.ofEpochMilli(delta.acceptedAtMillis())
                        + "  "
                        + delta.operator()
                        + "  "
                        + delta.id());
        delta.changes().forEach(change -> output.println("      " + change.describe()));
    }

    /**
     * Reads a file.
     *
     * @param file its path
     * @return its bytes
     */
    private static byte[] bytes(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException exception) {
            throw Settings.refused("--table", file, "a file with a table", exception);
        }
    }
}
