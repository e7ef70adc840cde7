package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.damasktiller.daemon.job.JobBody;
import org.damasktiller.daemon.job.JobServlets;

/** Tells the state and the result of a job. */
@Parameters(commandNames = "job", commandDescription = "Tell the state and result of a job")
public final class JobCommand implements Command {

    /** The flags for the entry VM. */
    @ParametersDelegate private final ServerOptions server = new ServerOptions();

    /** The job. */
    @Parameter(names = "--job", description = "Job, as told by submit", required = true)
    private String job = "";

    /** Creates the command. */
    public JobCommand() {}

    @Override
    public String name() {
        return "job";
    }

    @Override
    public ExitCode run(PrintStream output) {
        String path = JobServlets.PATH + "/" + URLEncoder.encode(job, StandardCharsets.UTF_8);
        JobBody body =
                server.call(
                        path, (client, url, context) -> client.get(url, JobBody.class, context));
        server.print(output, body, value -> JobPrinter.print(output, value));
        return ExitCode.SUCCESS;
    }
}
