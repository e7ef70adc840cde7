package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import org.damasktiller.daemon.operator.DrainBody;
import org.damasktiller.daemon.operator.OperatorPaths;

/** Drains an entry VM: it finishes what is in flight, hands over its cells and ends. */
@Parameters(commandNames = "drain", commandDescription = "Drain an entry VM")
public final class DrainCommand implements Command {

    /** The flags for the entry VM. */
    @ParametersDelegate private final ServerOptions server = new ServerOptions();

    /** Creates the command. */
    public DrainCommand() {}

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public ExitCode run(PrintStream output) {
        DrainBody body =
                server.call(
                        OperatorPaths.DRAIN,
                        (client, url, context) -> client.post(url, "", DrainBody.class, context));
        server.print(
                output,
                body,
                value ->
                        output.println(
                                value.vm()
                                        + " is "
                                        + value.readiness()
                                        + ", requests in flight: "
                                        + value.inFlight()));
        return ExitCode.SUCCESS;
    }
}
