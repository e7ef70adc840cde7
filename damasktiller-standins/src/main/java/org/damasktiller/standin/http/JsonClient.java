package org.damasktiller.standin.http;

import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.Outcome;
import org.damasktiller.platform.http.AddressResolver;

/** Sends JSON over HTTP to peers named by IP address. Used on its reactor's thread only. */
public final class JsonClient {

    /** The largest answer accepted, in bytes. */
    private static final int MAXIMUM_ANSWER_BYTES = 64 << 20;

    /** How long a connection is kept for the next request. */
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(10);

    /** The status from which on an answer is an error. */
    private static final int FIRST_ERROR_STATUS = 400;

    /** The HTTP client. */
    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param reactor the reactor that does the I/O
     * @param connectTimeout how long to wait for a connection
     */
    public JsonClient(NioReactor reactor, Duration connectTimeout) {
        client =
                HttpClient.builder(reactor, new AddressResolver())
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .withConnectTimeout(connectTimeout)
                        .withMaxBodySize(MAXIMUM_ANSWER_BYTES)
                        .build();
    }

    /**
     * Sends an object and reads the answer.
     *
     * @param url the address, with an IP number as the host
     * @param body the object to send
     * @param type the type of the answer
     * @param context the step, the peer and the deadline of the call
     * @param <T> the type of the answer
     * @return the answer, or an error: that of the peer's error body, or one with the code of the
     *     context if no answer came
     */
    public <T> Promise<T> post(String url, Object body, Class<T> type, CallContext context) {
        HttpRequest request =
                HttpRequest.post(url)
                        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                        .withBody(Json.write(body).getBytes(StandardCharsets.UTF_8))
                        .build();
        return send(request, type, context);
    }

    /**
     * Reads an object.
     *
     * @param url the address, with an IP number as the host
     * @param type the type of the answer
     * @param context the step, the peer and the deadline of the call
     * @param <T> the type of the answer
     * @return the answer or an error as for {@link #post}
     */
    public <T> Promise<T> get(String url, Class<T> type, CallContext context) {
        return send(HttpRequest.get(url).build(), type, context);
    }

    /**
     * Sends a request and reads the answer before the deadline.
     *
     * @param request the request
     * @param type the type of the answer
     * @param context the step, the peer and the deadline of the call
     * @param <T> the type of the answer
     * @return the answer or an error
     */
    public <T> Promise<T> send(HttpRequest request, Class<T> type, CallContext context) {
        Promise<T> answer =
                client.request(request).then(response -> readAnswer(response, type, context));
        return Promises.timeout(context.timeoutMillis(), answer)
                .mapException(exception -> translate(exception, context));
    }

    /**
     * Closes the connections.
     *
     * @return a promise completed when the client has stopped
     */
    public Promise<?> stop() {
        return client.stop();
    }

    /**
     * Reads the body of an answer.
     *
     * @param response the answer
     * @param type the type of its body
     * @param context the context of the call
     * @param <T> the type of the body
     * @return the body or the peer's error
     */
    private static <T> Promise<T> readAnswer(
            HttpResponse response, Class<T> type, CallContext context) {
        int status = response.getCode();
        return response.loadBody(MAXIMUM_ANSWER_BYTES)
                .map(
                        buffer -> {
                            byte[] bytes = buffer.getArray();
                            if (status >= FIRST_ERROR_STATUS) {
                                throw Json.read(
                                                bytes,
                                                ErrorBody.class,
                                                context.step(),
                                                context.peer())
                                        .toException();
                            }
                            return Json.read(bytes, type, context.step(), context.peer());
                        });
    }

    /**
     * Gives an error without a code the code of the context.
     *
     * @param exception the error
     * @param context the context of the call
     * @return an error with a code
     */
    private static Exception translate(Exception exception, CallContext context) {
        if (exception instanceof DamasktillerException) {
            return exception;
        }
        return new DamasktillerException(
                context.failureCode(),
                context.step(),
                context.peer(),
                Outcome.OUTCOME_UNKNOWN,
                "no answer from " + context.peer() + ": " + exception,
                exception);
    }
}
