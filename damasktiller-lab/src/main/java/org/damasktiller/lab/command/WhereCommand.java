package org.damasktiller.lab.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.node.placement.PlacementQuestion;

/** Asks an entry VM where a task would start now, and why, without sending the task. */
@Parameters(
        commandNames = "where",
        commandDescription = "Explain where a task would start now, without sending it")
public final class WhereCommand implements Command {

    /** How long the entry VM may take to answer. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** The HTTP status of an answer. */
    private static final int HTTP_OK = 200;

    /** The address at which the entry VM answers readiness checks. */
    @Parameter(
            names = "--vm",
            description = "Readiness address of an entry VM, IP:PORT",
            required = true)
    private String vm = "";

    /** The name of the route. */
    @Parameter(names = "--route", description = "Name of the route", required = true)
    private String route = "";

    /** The CPU of the task. */
    @Parameter(names = "--cpu", description = "CPU of the task, in millicores", required = true)
    private String cpu = "";

    /** The memory of the task. */
    @Parameter(names = "--memory", description = "Memory of the task, in megabytes")
    private String memory = "0";

    /** The number of accelerators of the task. */
    @Parameter(names = "--accelerators", description = "Accelerators of the task")
    private String accelerators = "0";

    /** The declared duration of the task. */
    @Parameter(names = "--estimate", description = "Declared duration, in milliseconds")
    private String estimate = "0";

    /** The target of a serving task. */
    @Parameter(names = "--target", description = "Target of a serving task, in milliseconds")
    private String target = "0";

    /** The image of the task. */
    @Parameter(names = "--image", description = "Image of the task")
    private String image = "";

    /** The label that the worker must have. */
    @Parameter(names = "--label", description = "Label that the worker must have")
    private String label = "";

    /** The rack that holds the data of the task. */
    @Parameter(names = "--rack", description = "Rack that holds the data of the task")
    private String rack = "";

    /** Whether the task is long-running. */
    @Parameter(names = "--long-running", description = "The task is long-running")
    private boolean longRunning;

    /** Whether the task is a filler. */
    @Parameter(names = "--filler", description = "The task is a filler")
    private boolean filler;

    /** Creates the command; JCommander sets its fields. */
    public WhereCommand() {}

    @Override
    public String name() {
        return "where";
    }

    @Override
    public ExitCode run(PrintStream output) {
        try {
            HttpResponse<String> response =
                    HttpClient.newBuilder()
                            .connectTimeout(TIMEOUT)
                            .build()
                            .send(
                                    HttpRequest.newBuilder(uri()).timeout(TIMEOUT).build(),
                                    HttpResponse.BodyHandlers.ofString());
            output.println(response.body());
            return response.statusCode() == HTTP_OK ? ExitCode.SUCCESS : ExitCode.FAILURE;
        } catch (IOException exception) {
            throw unreachable(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw unreachable(exception);
        }
    }

    /**
     * Returns the address of the question.
     *
     * @return the address with all parameters
     * @throws DamasktillerException with code BAD_SETTING if the address of the VM is malformed
     */
    private URI uri() {
        Map<String, String> parameters = new LinkedHashMap<>();
        parameters.put(PlacementQuestion.ROUTE, route);
        parameters.put(PlacementQuestion.CPU, cpu);
        parameters.put(PlacementQuestion.MEMORY, memory);
        parameters.put(PlacementQuestion.ACCELERATORS, accelerators);
        parameters.put(PlacementQuestion.ESTIMATE, estimate);
        parameters.put(PlacementQuestion.TARGET, target);
        parameters.put(PlacementQuestion.IMAGE, image);
        parameters.put(PlacementQuestion.LABEL, label);
        parameters.put(PlacementQuestion.RACK, rack);
        parameters.put(PlacementQuestion.LONG_RUNNING, String.valueOf(longRunning));
        parameters.put(PlacementQuestion.FILLER, String.valueOf(filler));
        String query =
                parameters.entrySet().stream()
                        .map(entry -> entry.getKey() + '=' + encode(entry.getValue()))
                        .collect(Collectors.joining("&"));
        try {
            return URI.create("http://" + vm + "/placement?" + query);
        } catch (IllegalArgumentException exception) {
            throw new DamasktillerException(
                    ErrorCode.BAD_SETTING,
                    Operation.READ,
                    vm,
                    Outcome.NOT_RUN,
                    "--vm must have the form IP:PORT: " + exception.getMessage(),
                    exception);
        }
    }

    /**
     * Encodes a value for a query.
     *
     * @param value the value
     * @return the encoded value
     */
    private static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }

    /**
     * Creates the error for an entry VM that does not answer.
     *
     * @param cause what was observed
     * @return the error, to be thrown
     */
    private DamasktillerException unreachable(Exception cause) {
        return new DamasktillerException(
                ErrorCode.PROTOCOL_ERROR,
                Operation.READ,
                vm,
                Outcome.NOT_RUN,
                "the entry VM does not answer: " + cause,
                cause);
    }
}
