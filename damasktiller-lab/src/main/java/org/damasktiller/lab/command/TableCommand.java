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
import org.damasktiller.lab.table.TableManifestFactory;
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
 * Checks the operators' table and prints its manifest, and reads and edits the table in the
 * platform's store. Without the address of a store, {@code manifest} reads the table from a file,
 * and the other actions fail.
 */
@Parameters(
        commandNames = "table",
        commandDescription = "Check, print and edit the table: manifest, get, put, edit, history")
public final class TableCommand implements Command {

    /** The allowed actions, as listed in error messages. */
    private static final String ALLOWED_ACTIONS = "manifest, get, put, edit or history";

    /** The maximum number of edits that {@code history} prints. */
    private static final int HISTORY_EDIT_COUNT = 50;

    /** The action to perform. */
    @Parameter(description = "manifest|get|put|edit|history")
    private String action = "manifest";

    /** The path of the file with the table. */
    @Parameter(names = "--table", description = "File with the table as CSV")
    private String tablePath = "";

    /** The address of the platform's store, empty if none is given. */
    @Parameter(names = "--store", description = "Address of the platform's store, IP:PORT")
    private String storeAddress = "";

    /** The deployment whose availability zones the table may name. */
    @Parameter(
            names = "--deployment",
            description = "Deployment whose zones the table may name: CORRIB or CARPATICA")
    private Deployment deployment = Deployment.CORRIB;

    /** The name of the service whose workers run the work of every route. */
    @Parameter(names = "--service", description = "Service whose workers run the work of the table")
    private String service = "workers";

    /** The version of the printed manifest. */
    @Parameter(names = "--manifest-version", description = "Version of the printed manifest")
    private long manifestVersion = 1;

    /** The version of the table that an edit is based on, 0 for the current version. */
    @Parameter(
            names = "--base",
            description = "Version of the table that the edit is based on; 0 for the current one")
    private long baseVersion;

    /** The kind of work whose row {@code edit} changes. */
    @Parameter(names = "--kind", description = "Kind of work whose row is edited")
    private String kindName = "";

    /** The column of the cell that {@code edit} changes. */
    @Parameter(names = "--column", description = "Column of the edited cell")
    private String column = "";

    /** The new text of the cell that {@code edit} changes. */
    @Parameter(names = "--value", description = "New text of the cell")
    private String cellText = "";

    /** The identifier of the edit, which makes a retry idempotent; empty for a random one. */
    @Parameter(
            names = "--edit-id",
            description = "Identifier of the edit; a retry with the same one takes effect once")
    private String editId = "";

    /** The name of the operator that the history records with an edit. */
    @Parameter(names = "--operator", description = "Name of the operator, recorded in the history")
    private String operator = "operator";

    /** Creates the command; JCommander sets its fields. */
    public TableCommand() {}

    @Override
    public String name() {
        return "table";
    }

    @Override
    public ExitCode run(PrintStream output) {
        if (action.equals("manifest") && storeAddress.isEmpty()) {
            printManifest(output, readTable(tablePath, deployment));
            return ExitCode.SUCCESS;
        }
        EditId resolvedEditId = resolveEditId();
        InetSocketAddress address = Addresses.parse(storeAddress);
        if (address == null) {
            throw Settings.invalidValue("--store", storeAddress, "IP:PORT", null);
        }
        Set<ZoneName> zones = deployment.zones().keySet();
        try (TableSession session = new TableSession(address, zones)) {
            performAction(session, resolvedEditId, output);
        }
        return ExitCode.SUCCESS;
    }

    /**
     * Reads a table from a file.
     *
     * @param file the path of the file
     * @param deployment the deployment whose zones the table may name
     * @return the table
     * @throws org.damasktiller.error.DamasktillerException with code BAD_TABLE and the invalid
     *     cell, or with code BAD_SETTING if the file cannot be read
     */
    static OperatorTable readTable(String file, Deployment deployment) {
        return new TableReader(deployment.zones().keySet()).read(readBytes(file), 0);
    }

    /**
     * Performs the action on the table in the store.
     *
     * @param session the session with the store
     * @param resolvedEditId the identifier of the edit, if the action is one
     * @param output the stream for results
     */
    private void performAction(TableSession session, EditId resolvedEditId, PrintStream output) {
        switch (action) {
            case "manifest" -> printManifest(output, session.call(tables -> tables.read()));
            case "get" ->
                    output.print(
                            new String(
                                    TableWriter.write(session.call(tables -> tables.read())),
                                    StandardCharsets.UTF_8));
            case "put" -> printResult(output, put(session, resolvedEditId));
            case "edit" -> printResult(output, edit(session, resolvedEditId));
            case "history" ->
                    session.call(tables -> tables.history(HISTORY_EDIT_COUNT))
                            .forEach(delta -> printEdit(output, delta));
            default -> throw Settings.invalidValue("table", action, ALLOWED_ACTIONS, null);
        }
    }

    /**
     * Replaces the table by that of the file. Cells that other operators have changed since the
     * base version are merged; a cell that both have changed to different values is refused.
     *
     * @param session the session with the store
     * @param resolvedEditId the identifier of the edit
     * @return the new version and the changes
     */
    private EditResult put(TableSession session, EditId resolvedEditId) {
        byte[] csv = readBytes(tablePath);
        long fromVersion =
                baseVersion == 0 ? session.call(tables -> tables.read()).version() : baseVersion;
        return session.call(tables -> tables.put(resolvedEditId, operator, fromVersion, csv));
    }

    /**
     * Changes one cell of the table.
     *
     * @param session the session with the store
     * @param resolvedEditId the identifier of the edit
     * @return the new version and the changes
     */
    private EditResult edit(TableSession session, EditId resolvedEditId) {
        OperatorTable baseTable =
                baseVersion == 0
                        ? session.call(tables -> tables.read())
                        : session.call(tables -> tables.readAt(baseVersion));
        OperatorTable editedTable =
                CellEdits.withCell(baseTable, new KindName(kindName), column, cellText);
        return session.call(
                tables ->
                        tables.edit(
                                new TableEdit(resolvedEditId, operator, baseTable, editedTable)));
    }

    /**
     * Returns the identifier of the edit.
     *
     * @return the given identifier, or a random one if none is given
     * @throws org.damasktiller.error.DamasktillerException with code BAD_SETTING if the given
     *     identifier is malformed
     */
    private EditId resolveEditId() {
        try {
            return new EditId(editId.isEmpty() ? UUID.randomUUID().toString() : editId);
        } catch (IllegalArgumentException exception) {
            throw Settings.invalidValue(
                    "--edit-id", editId, "1 to 64 letters, digits or hyphens", exception);
        }
    }

    /**
     * Prints the manifest of a table.
     *
     * @param output the stream to print to
     * @param operatorTable the table
     */
    private void printManifest(PrintStream output, OperatorTable operatorTable) {
        byte[] text =
                PlatformRecordEncoder.encodeManifest(
                        TableManifestFactory.create(operatorTable, service, manifestVersion));
        output.println(new String(text, StandardCharsets.UTF_8));
    }

    /**
     * Prints the new version of the table and the changed rows of an accepted edit.
     *
     * @param output the stream to print to
     * @param result the result of the edit
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
     * @param output the stream to print to
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
     * Reads the content of a file.
     *
     * @param file the path of the file
     * @return the content
     */
    private static byte[] readBytes(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException exception) {
            throw Settings.invalidValue("--table", file, "a readable file with a table", exception);
        }
    }
}
