package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.damasktiller.daemon.local.Deployment;
import org.damasktiller.daemon.local.LocalRun;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableReader;

/** Runs the whole system on loopback with stand-ins and a short mixed load. */
@Parameters(
        commandNames = "local",
        commandDescription = "Run the whole system on loopback with a short mixed load")
public final class LocalCommand implements Command {

    /** The longest load, in seconds. */
    private static final long MAXIMUM_SECONDS = 3_600;

    /** The file with the table. */
    @Parameter(names = "--table", description = "File with the table as CSV", required = true)
    private String table = "";

    /** The deployment. */
    @Parameter(
            names = "--deployment",
            description = "Deployment whose zones and workers are run: CORRIB or CARPATICA")
    private Deployment deployment = Deployment.CORRIB;

    /** How long the load lasts. */
    @Parameter(names = "--seconds", description = "How long the load lasts, in seconds")
    private long seconds = 6;

    /** Creates the command. */
    public LocalCommand() {}

    @Override
    public String name() {
        return "local";
    }

    @Override
    public ExitCode run(PrintStream output) {
        Settings.inRange("--seconds", seconds, 1, MAXIMUM_SECONDS);
        byte[] bytes = readFile();
        OperatorTable rows = new TableReader(deployment.zones().keySet()).read(bytes, 0);
        String csv = new String(bytes, StandardCharsets.UTF_8);
        boolean accounted = new LocalRun(deployment, csv, seconds, output).run(rows);
        return accounted ? ExitCode.SUCCESS : ExitCode.UNACCOUNTED;
    }

    /**
     * Reads the file with the table.
     *
     * @return its bytes
     */
    private byte[] readFile() {
        try {
            return Files.readAllBytes(Path.of(table));
        } catch (IOException exception) {
            throw Settings.refused("--table", table, "a file with a table", exception);
        }
    }
}
