package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.damasktiller.daemon.job.JobBody;
import org.damasktiller.daemon.job.JobServlets;

/** Cancels a job. */
@Parameters(commandNames = "cancel", commandDescription = "Cancel a job")
public final class CancelCommand implements Command {

    /** The flags for the entry VM. */
    @ParametersDelegate private final ServerOptions server = new ServerOptions();

    /** The job. */
    @Parameter(names = "--job", description = "Job, as told by submit", required = true)
    private String job = "";

    /** Creates the command. */
    public CancelCommand() {}

    @Override
    public String name() {
        return "cancel";
    }

    @Override
    public ExitCode run(PrintStream output) {
        String path = JobServlets.PATH + "/" + URLEncoder.encode(job, StandardCharsets.UTF_8);
        JobBody body =
                server.call(
                        path,
                        (client, url, context) ->
                                client.send(
                                        HttpRequest.builder(HttpMethod.DELETE, url).build(),
                                        JobBody.class,
                                        context));
        server.print(output, body, value -> JobPrinter.print(output, value));
        return ExitCode.SUCCESS;
    }
}
