package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import org.damasktiller.lab.crowd.Crowd;
import org.damasktiller.lab.crowd.HostileKind;
import org.damasktiller.lab.crowd.OrdinaryCaller;
import org.damasktiller.platform.settings.Addresses;
import org.damasktiller.scheduler.model.Route;

/**
 * Sends a crowd of hostile callers to an entry VM on loopback, and an ordinary submission while
 * their connections are open.
 */
@Parameters(
        commandNames = "crowd",
        commandDescription =
                "Send many hostile requests at once to an entry VM on loopback, and an ordinary one"
                        + " beside them")
public final class CrowdCommand implements Command {

    /** The largest number of callers, below the usual number of descriptors of a process. */
    private static final int MAX_CALLERS = 4_000;

    /** The largest body, in bytes. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** The smallest body, which a submission fits into, in bytes. */
    private static final int MIN_BODY_BYTES = 128;

    /** The address at which the entry VM takes requests of callers. */
    @Parameter(
            names = "--vm",
            description = "Caller address of an entry VM on loopback, IP:PORT",
            required = true)
    private String vm = "";

    /** The host of the route. */
    @Parameter(names = "--host", description = "Host of the route", required = true)
    private String host = "";

    /** The path prefix of the route. */
    @Parameter(names = "--prefix", description = "Path prefix of the route", required = true)
    private String prefix = "";

    /** What the callers send. */
    @Parameter(names = "--kind", description = "What the callers send")
    private HostileKind kind = HostileKind.WHOLE_BODIES;

    /** The number of callers. */
    @Parameter(names = "--callers", description = "Number of callers, 1 to 4000")
    private int callers = 400;

    /** The size of each body. */
    @Parameter(names = "--body-bytes", description = "Size of each body, 128 to 1048576 bytes")
    private int bodyBytes = 250_000;

    /** Creates the command; JCommander sets its fields. */
    public CrowdCommand() {}

    @Override
    public String name() {
        return "crowd";
    }

    @Override
    public ExitCode run(PrintStream output) {
        InetSocketAddress address = Addresses.parse(vm);
        if (address == null || !address.getAddress().isLoopbackAddress()) {
            throw new ParameterException("--vm must be IP:PORT on loopback, but is " + vm);
        }
        requireRange("--callers", callers, 1, MAX_CALLERS);
        requireRange("--body-bytes", bodyBytes, MIN_BODY_BYTES, MAX_BODY_BYTES);
        Route route = new Route("", host, prefix, "", 0, 1, 1, 0, false);
        try (Crowd crowd = new Crowd(address, route, kind, callers, bodyBytes)) {
            crowd.send();
            output.println(kind + ": " + crowd.summary());
            boolean accepted = new OrdinaryCaller(address, route).submit();
            output.println("ordinary submission accepted: " + accepted);
            return accepted ? ExitCode.SUCCESS : ExitCode.FAILURE;
        }
    }

    /**
     * Requires that a flag is in its range.
     *
     * @param flag the name of the flag
     * @param value its value
     * @param minimum the lowest value
     * @param maximum the highest value
     * @throws ParameterException if it is not
     */
    private static void requireRange(String flag, int value, int minimum, int maximum) {
        if (value < minimum || value > maximum) {
            throw new ParameterException(
                    flag + " must be " + minimum + " to " + maximum + ", but is " + value);
        }
    }
}
