package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import io.activej.promise.Promise;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.damasktiller.daemon.entry.Addresses;
import org.damasktiller.daemon.settings.AddressConverter;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.http.Json;
import org.damasktiller.standin.http.JsonClient;
import org.jspecify.annotations.Nullable;

/** Holds the flags of every command that calls an entry VM. */
public final class ServerOptions {

    /** The address of the entry VM. */
    @Parameter(
            names = "--server",
            description = "IP number and port of an entry VM's interface",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress server;

    /** How long to wait for an answer. */
    @Parameter(
            names = "--timeout-millis",
            description = "Longest wait for an answer, in milliseconds")
    private long timeoutMillis = 10_000;

    /** Whether to print JSON. */
    @Parameter(names = "--json", description = "Print JSON for programs")
    private boolean json;

    /** Creates the flags with their defaults. */
    ServerOptions() {}

    /**
     * Makes one call and waits for its answer.
     *
     * @param path the path with the query
     * @param call makes the call
     * @param <T> the type of the answer
     * @return the answer
     */
    <T> T call(String path, ServerCall<T> call) {
        InetSocketAddress address = Settings.required("--server", server, AddressConverter.ALLOWED);
        String peer = Addresses.text(address);
        CallContext context =
                new CallContext(Step.ACCEPT, peer, ErrorCode.DEADLINE_EXCEEDED, timeoutMillis);
        try (ApiClient client = new ApiClient()) {
            return client.call(http -> call.make(http, "http://" + peer + path, context));
        }
    }

    /**
     * Prints an answer as JSON or for a person.
     *
     * @param output where it goes
     * @param answer the answer
     * @param printer prints it for a person
     * @param <T> the type of the answer
     */
    <T> void print(PrintStream output, T answer, Consumer<T> printer) {
        if (json) {
            output.println(Json.write(answer));
            return;
        }
        printer.accept(answer);
    }

    /**
     * Returns how long to wait for an answer.
     *
     * @return the time, in milliseconds
     */
    long timeoutMillis() {
        return timeoutMillis;
    }

    /**
     * One call to an entry VM.
     *
     * @param <T> the type of the answer
     */
    interface ServerCall<T> {

        /**
         * Makes the call.
         *
         * @param client the client
         * @param url the address and path
         * @param context the context for errors
         * @return the answer
         */
        Promise<T> make(JsonClient client, String url, CallContext context);
    }
}
