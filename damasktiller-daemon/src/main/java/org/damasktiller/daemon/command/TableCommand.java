package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.damasktiller.daemon.operator.OperatorPaths;
import org.damasktiller.daemon.operator.StatusBody;
import org.damasktiller.daemon.operator.TableBody;
import org.damasktiller.daemon.operator.TableCellBody;
import org.damasktiller.daemon.operator.TableChangeBody;
import org.damasktiller.daemon.operator.TableHistoryBody;
import org.damasktiller.daemon.operator.TablePutBody;
import org.damasktiller.daemon.settings.Settings;

/** Reads and edits the operators' table. */
@Parameters(
        commandNames = "table",
        commandDescription = "Read or edit the table: get, put, edit or history")
public final class TableCommand implements Command {

    /** The words that select what to do, for error messages. */
    private static final String ALLOWED = "get, put, edit or history";

    /** The time between two looks whether a version is in force, in milliseconds. */
    private static final long POLL_MILLIS = 100;

    /** The flags for the entry VM. */
    @ParametersDelegate private final ServerOptions server = new ServerOptions();

    /** What to do. */
    @Parameter(description = "get|put|edit|history")
    private String action = "";

    /** The file with the wanted table. */
    @Parameter(names = "--file", description = "File with the wanted table as CSV, for put")
    private String file = "";

    /** The version from which the operator started. */
    @Parameter(
            names = "--base",
            description = "Version from which the edit started; 0 takes the one in force")
    private long baseVersion;

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
            description = "Identity of the edit; give the same one to repeat an edit safely")
    private String editId = UUID.randomUUID().toString();

    /** The operator's name. */
    @Parameter(names = "--operator", description = "Name of the operator, kept in the history")
    private String operator = "operator";

    /** Whether to wait until the edit is in force. */
    @Parameter(names = "--wait", description = "Wait until the edit is in force in every zone")
    private boolean waitInForce;

    /** Creates the command. */
    public TableCommand() {}

    @Override
    public String name() {
        return "table";
    }

    @Override
    public ExitCode run(PrintStream output) {
        return switch (action) {
            case "get" -> get(output);
            case "put" -> put(output);
            case "edit" -> edit(output);
            case "history" -> history(output);
            default -> throw Settings.refused("table", action, ALLOWED, null);
        };
    }

    /**
     * Prints the table.
     *
     * @param output where it goes
     * @return the exit code
     */
    private ExitCode get(PrintStream output) {
        server.print(output, read(), body -> output.print(body.csv()));
        return ExitCode.SUCCESS;
    }

    /**
     * Puts the table of a file in place of the base version.
     *
     * @param output where the answer goes
     * @return the exit code
     */
    private ExitCode put(PrintStream output) {
        String csv = readFile();
        long base = baseVersion == 0 ? read().version() : baseVersion;
        TablePutBody body = new TablePutBody(editId, operator, base, csv);
        TableChangeBody change =
                server.call(
                        OperatorPaths.TABLE,
                        (client, url, context) ->
                                client.post(url, body, TableChangeBody.class, context));
        return finish(output, change);
    }

    /**
     * Changes one cell.
     *
     * @param output where the answer goes
     * @return the exit code
     */
    private ExitCode edit(PrintStream output) {
        TableCellBody body = new TableCellBody(editId, operator, baseVersion, kind, column, value);
        TableChangeBody change =
                server.call(
                        OperatorPaths.TABLE_CELL,
                        (client, url, context) ->
                                client.post(url, body, TableChangeBody.class, context));
        return finish(output, change);
    }

    /**
     * Prints the accepted edits.
     *
     * @param output where they go
     * @return the exit code
     */
    private ExitCode history(PrintStream output) {
        TableHistoryBody body =
                server.call(
                        OperatorPaths.TABLE_HISTORY,
                        (client, url, context) -> client.get(url, TableHistoryBody.class, context));
        server.print(
                output, body, history -> history.edits().forEach(one -> printEdit(output, one)));
        return ExitCode.SUCCESS;
    }

    /**
     * Prints an accepted edit and waits until it is in force, if asked to.
     *
     * @param output where it goes
     * @param change the answer
     * @return the exit code
     */
    private ExitCode finish(PrintStream output, TableChangeBody change) {
        server.print(
                output,
                change,
                body -> {
                    output.println("accepted as version " + body.version());
                    body.changes().forEach(line -> output.println("  " + line));
                });
        if (!waitInForce || awaitInForce(change.version())) {
            return ExitCode.SUCCESS;
        }
        output.println("not in force in every zone yet; see status");
        return ExitCode.FAILURE;
    }

    /**
     * Waits until a version is in force in every zone.
     *
     * @param version the version
     * @return whether it is in force before the time is up
     */
    private boolean awaitInForce(long version) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(server.timeoutMillis());
        while (System.nanoTime() < deadline) {
            StatusBody status =
                    server.call(
                            OperatorPaths.STATUS,
                            (client, url, context) -> client.get(url, StatusBody.class, context));
            if (status.zones().stream().allMatch(zone -> zone.tableVersion() >= version)) {
                return true;
            }
            pause();
        }
        return false;
    }

    /** Waits before the next look. */
    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reads the table in force.
     *
     * @return the table
     */
    private TableBody read() {
        return server.call(
                OperatorPaths.TABLE,
                (client, url, context) -> client.get(url, TableBody.class, context));
    }

    /**
     * Reads the file with the wanted table.
     *
     * @return the table as CSV
     */
    private String readFile() {
        try {
            byte[] bytes = Files.readAllBytes(Path.of(file));
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
        } catch (IOException exception) {
            throw Settings.refused("--file", file, "a file with a table in UTF-8", exception);
        }
    }

    /**
     * Prints one accepted edit.
     *
     * @param output where it goes
     * @param edit the edit
     */
    private static void printEdit(PrintStream output, TableHistoryBody.EditBody edit) {
        output.println(
                edit.version()
                        + "  "
                        + Instant.ofEpochMilli(edit.acceptedAtMillis())
                        + "  "
                        + edit.operator()
                        + "  "
                        + edit.editId());
        edit.changes().forEach(line -> output.println("      " + line));
    }
}
