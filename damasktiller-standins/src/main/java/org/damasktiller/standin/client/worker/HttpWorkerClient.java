package org.damasktiller.standin.client.worker;

import io.activej.promise.Promise;
import java.util.Optional;
import java.util.function.Function;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.http.JsonClient;
import org.damasktiller.worker.WorkerAnswer;
import org.damasktiller.worker.WorkerClient;
import org.damasktiller.worker.WorkerCommand;

/** Reaches the platform's workers over HTTP and JSON. */
public final class HttpWorkerClient implements WorkerClient {

    /** The start of the path of each worker; its name follows. */
    public static final String PATH = "/worker/";

    /** The client. */
    private final JsonClient client;

    /** Gives the IP address and port of a worker, empty if it is not known. */
    private final Function<WorkerId, Optional<String>> addresses;

    /** How long to wait for an answer, in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates a client of the workers.
     *
     * @param client the client for the calls
     * @param addresses gives the IP address and port of a worker, empty if it is not known
     * @param timeoutMillis how long to wait for an answer, in milliseconds
     */
    public HttpWorkerClient(
            JsonClient client, Function<WorkerId, Optional<String>> addresses, long timeoutMillis) {
        this.client = client;
        this.addresses = addresses;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public Promise<WorkerAnswer> send(WorkerId worker, WorkerCommand command) {
        Optional<String> address = addresses.apply(worker);
        if (address.isEmpty()) {
            return Promise.ofException(
                    new DamasktillerException(
                            ErrorCode.PROTOCOL_ERROR,
                            Step.COMMAND,
                            worker.value(),
                            Outcome.NOT_RUN,
                            "the list of VMs has no address of the worker"));
        }
        CallContext context =
                new CallContext(
                        Step.COMMAND, worker.value(), ErrorCode.PROTOCOL_ERROR, timeoutMillis);
        String url = "http://" + address.get() + PATH + worker.value();
        return client.post(url, command, WorkerAnswer.class, context);
    }
}
