package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.activej.http.HttpRequest;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.damasktiller.daemon.job.JobBody;
import org.damasktiller.daemon.job.JobServlets;
import org.damasktiller.standin.http.CallHeaders;

/** Submits a job; the same key gives the same job. */
@Parameters(
        commandNames = "submit",
        commandDescription = "Submit a job of a kind of work; the same key gives the same job")
public final class SubmitCommand implements Command {

    /** The flags for the entry VM. */
    @ParametersDelegate private final ServerOptions server = new ServerOptions();

    /** The kind of work. */
    @Parameter(names = "--kind", description = "Kind of work, a row of the table", required = true)
    private String kind = "";

    /** The request key. */
    @Parameter(
            names = "--key",
            description = "Key by which a repeated submission is recognised",
            required = true)
    private String key = "";

    /** The input of the task. */
    @Parameter(names = "--payload", description = "Input of the task")
    private String payload = "";

    /** Creates the command. */
    public SubmitCommand() {}

    @Override
    public String name() {
        return "submit";
    }

    @Override
    public ExitCode run(PrintStream output) {
        String path = JobServlets.PATH + "/" + URLEncoder.encode(kind, StandardCharsets.UTF_8);
        JobBody job =
                server.call(
                        path,
                        (client, url, context) ->
                                client.send(
                                        HttpRequest.post(url)
                                                .withHeader(CallHeaders.KEY, key)
                                                .withBody(payload.getBytes(StandardCharsets.UTF_8))
                                                .build(),
                                        JobBody.class,
                                        context));
        server.print(output, job, body -> JobPrinter.print(output, body));
        return ExitCode.SUCCESS;
    }
}
