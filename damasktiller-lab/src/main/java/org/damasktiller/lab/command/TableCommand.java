package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.lab.settings.Settings;
import org.damasktiller.lab.table.TableManifest;
import org.damasktiller.platform.emulator.OperatorFormats;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableReader;

/** Checks a table, and prints the manifest that its rows make on the platform. */
@Parameters(
        commandNames = "table",
        commandDescription = "Check a table and print the manifest that its rows make")
public final class TableCommand implements Command {

    /** The file with the table. */
    @Parameter(names = "--table", description = "File with the table as CSV", required = true)
    private String table = "";

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

    /** Creates the command. */
    public TableCommand() {}

    @Override
    public String name() {
        return "table";
    }

    @Override
    public ExitCode run(PrintStream output) {
        OperatorTable rows = read(table, deployment);
        byte[] text = OperatorFormats.manifest(TableManifest.of(rows, service, version));
        output.println(new String(text, StandardCharsets.UTF_8));
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
        try {
            byte[] bytes = Files.readAllBytes(Path.of(file));
            return new TableReader(deployment.zones().keySet()).read(bytes, 0);
        } catch (IOException exception) {
            throw Settings.refused("--table", file, "a file with a table", exception);
        }
    }
}
