package org.damasktiller.lab.command;

import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.damasktiller.scheduler.policy.Policy;

/** Lists the policies that can be switched off. */
@Parameters(
        commandNames = "policies",
        commandDescription = "List the policies that --without can switch off")
public final class PoliciesCommand implements Command {

    /** Creates the command. */
    public PoliciesCommand() {}

    @Override
    public String name() {
        return "policies";
    }

    @Override
    public ExitCode run(PrintStream output) {
        for (Policy policy : Policy.values()) {
            output.println(policy.externalName());
            output.println("    answers: " + policy.loadPattern());
            output.println("    without: " + policy.alternative());
        }
        return ExitCode.SUCCESS;
    }
}
