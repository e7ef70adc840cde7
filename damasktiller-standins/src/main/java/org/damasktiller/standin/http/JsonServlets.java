package org.damasktiller.standin.http;

import io.activej.common.function.FunctionEx;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.jspecify.annotations.Nullable;

/** Makes servlets that take and answer JSON. */
public final class JsonServlets {

    /** Prevents instantiation. */
    private JsonServlets() {}

    /**
     * Makes a servlet that reads a JSON body and answers with a JSON body.
     *
     * @param type the type of the request's body
     * @param maximumBytes the largest body accepted, in bytes
     * @param handler gives the answer; its errors become error bodies
     * @param <T> the type of the request's body
     * @return the servlet
     */
    public static <T> AsyncServlet post(
            Class<T> type, int maximumBytes, FunctionEx<T, Promise<?>> handler) {
        return request ->
                body(request, maximumBytes)
                        .then(bytes -> handler.apply(Json.read(bytes, type, Step.ACCEPT, "")))
                        .map(JsonResponses::ok, JsonResponses::error);
    }

    /**
     * Makes a servlet that answers with a JSON body.
     *
     * @param handler gives the answer; its errors become error bodies
     * @return the servlet
     */
    public static AsyncServlet get(FunctionEx<HttpRequest, Promise<?>> handler) {
        return request ->
                Promise.of(request)
                        .then(handler::apply)
                        .map(JsonResponses::ok, JsonResponses::error);
    }

    /**
     * Wraps a servlet so that its errors become error bodies.
     *
     * @param handler gives the response
     * @return the servlet
     */
    public static AsyncServlet guarded(FunctionEx<HttpRequest, Promise<HttpResponse>> handler) {
        return request ->
                Promise.of(request)
                        .then(handler::apply)
                        .map(response -> response, JsonResponses::error);
    }

    /**
     * Reads the whole body of a request.
     *
     * @param request the request
     * @param maximumBytes the largest body accepted, in bytes
     * @return the bytes, or an error of code BODY_TOO_LARGE
     */
    public static Promise<byte[]> body(HttpRequest request, int maximumBytes) {
        return request.loadBody(maximumBytes)
                .map(
                        buffer -> checkSize(buffer.getArray(), maximumBytes),
                        exception -> {
                            throw tooLarge(maximumBytes, exception);
                        });
    }

    /**
     * Checks the size of a body; the library checks that of a body in parts only.
     *
     * @param body the body
     * @param maximumBytes the largest body accepted, in bytes
     * @return the body
     */
    private static byte[] checkSize(byte[] body, int maximumBytes) {
        if (body.length > maximumBytes) {
            throw tooLarge(maximumBytes, null);
        }
        return body;
    }

    /**
     * Makes the error of a body that is too large.
     *
     * @param maximumBytes the largest body accepted, in bytes
     * @param cause the error beneath, or null
     * @return the error
     */
    private static DamasktillerException tooLarge(int maximumBytes, @Nullable Throwable cause) {
        return new DamasktillerException(
                ErrorCode.BODY_TOO_LARGE,
                Step.ACCEPT,
                "",
                Outcome.NOT_RUN,
                "the body was not read whole; allowed are " + maximumBytes + " bytes",
                cause);
    }
}
