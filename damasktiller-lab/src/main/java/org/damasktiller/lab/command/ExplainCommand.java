package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.lab.explain.LogReader;
import org.damasktiller.lab.explain.Timeline;

/** Prints the timeline of one submission, read from the logs of the entry VMs. */
@Parameters(
        commandNames = "explain",
        commandDescription = "Print the timeline of a submission from the logs of the entry VMs")
public final class ExplainCommand implements Command {

    /** The identifier of the submission. */
    @Parameter(names = "--id", description = "Identifier of the submission", required = true)
    private String id = "";

    /** The paths of the log files. */
    @Parameter(
            names = "--log",
            description = "Log files of the entry VMs, separated by commas",
            required = true)
    private List<String> logs = new ArrayList<>();

    /** Creates the command; JCommander sets its fields. */
    public ExplainCommand() {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public ExitCode run(PrintStream output) {
        List<Path> paths = logs.stream().map(Path::of).toList();
        Timeline timeline = new Timeline(id, new LogReader().read(paths));
        timeline.lines().forEach(output::println);
        return timeline.isEmpty() ? ExitCode.FAILURE : ExitCode.SUCCESS;
    }
}
