package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.time.Instant;
import org.damasktiller.daemon.operator.OperatorPaths;
import org.damasktiller.daemon.operator.StatusBody;

/** Tells the zones, members, cells and owners, and the table in force in each zone. */
@Parameters(
        commandNames = "status",
        commandDescription = "Tell the zones, members, cells, and the table in force per zone")
public final class StatusCommand implements Command {

    /** The flags for the entry VM. */
    @ParametersDelegate private final ServerOptions server = new ServerOptions();

    /** Creates the command. */
    public StatusCommand() {}

    @Override
    public String name() {
        return "status";
    }

    @Override
    public ExitCode run(PrintStream output) {
        StatusBody body =
                server.call(
                        OperatorPaths.STATUS,
                        (client, url, context) -> client.get(url, StatusBody.class, context));
        server.print(output, body, value -> print(output, value));
        return ExitCode.SUCCESS;
    }

    /**
     * Prints the status for a person.
     *
     * @param output where it goes
     * @param status the status
     */
    private static void print(PrintStream output, StatusBody status) {
        output.println(
                "VM "
                        + status.vm()
                        + " in "
                        + status.zone()
                        + ", "
                        + status.readiness()
                        + ", table version "
                        + status.tableVersion());
        output.println("ZONE             REGION       TABLE    IN FORCE SINCE             LINK");
        for (StatusBody.ZoneBody zone : status.zones()) {
            output.printf(
                    "%-16s %-12s %8d %-26s %-10s %d live%n",
                    zone.zone(),
                    zone.region(),
                    zone.tableVersion(),
                    Instant.ofEpochMilli(zone.inForceSinceMillis()),
                    zone.reachable() ? "reachable" : "cut off",
                    zone.liveMembers());
        }
        output.println("MEMBERS OF THE ZONE");
        status.members().forEach(output::println);
        output.println("CELL                 OWNER                    HERE");
        for (StatusBody.CellBody cell : status.cells()) {
            output.printf(
                    "%-20s %-24s %s%n", cell.cell(), cell.owner(), cell.ownedHere() ? "yes" : "no");
        }
    }
}
