package org.damasktiller.node.caller;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import org.damasktiller.node.intake.BodyReader;
import org.damasktiller.node.intake.BodyRejectedException;
import org.damasktiller.node.intake.BodyRejection;
import org.damasktiller.node.intake.IncomingBody;
import org.jspecify.annotations.Nullable;

/** The body of an HTTP request. It is not read before it is needed. */
final class HttpBody implements BodyLoader {

    /** The request. */
    private final HttpRequest request;

    /** Reads the body. */
    private final BodyReader reader;

    /** When the sender stops waiting for a response, on the monotonic clock, in milliseconds. */
    private final long deadlineMillis;

    /** The body, null before it is read. */
    private @Nullable IncomingBody body;

    /**
     * Creates a body that is not read yet.
     *
     * @param request the request
     * @param reader reads the body
     * @param deadlineMillis when the sender stops waiting for a response, on the monotonic clock,
     *     in milliseconds
     */
    HttpBody(HttpRequest request, BodyReader reader, long deadlineMillis) {
        this.request = request;
        this.reader = reader;
        this.deadlineMillis = deadlineMillis;
    }

    @Override
    public Promise<byte[]> load(int maxBytes) {
        IncomingBody incoming =
                request.hasBody()
                        ? reader.readWhole(
                                request.getPath(),
                                request.takeBody().asArray(),
                                maxBytes,
                                deadlineMillis)
                        : reader.read(
                                request.getPath(),
                                request.takeBodyStream(),
                                announcedBytes(),
                                maxBytes,
                                deadlineMillis);
        body = incoming;
        return incoming.result();
    }

    /** Releases the memory of the body, if it was read. */
    void release() {
        IncomingBody incoming = body;
        if (incoming != null) {
            incoming.release();
        }
    }

    /**
     * Returns the response to a request whose body was not read to its end.
     *
     * @param error the reason
     * @param maxBytes the maximum size of the body, in bytes
     * @return status 413 if it is too large, and status 503 otherwise
     */
    static CallerResponse refusal(Exception error, int maxBytes) {
        boolean tooLarge =
                error instanceof BodyRejectedException exception
                        && exception.rejection() == BodyRejection.TOO_LARGE;
        return tooLarge
                ? CallerResponse.bodyTooLarge(maxBytes)
                : CallerResponse.overloaded(String.valueOf(error.getMessage()));
    }

    /**
     * Returns the size that the request announces.
     *
     * @return the size, in bytes, 0 if there is none or if it is no number
     */
    private long announcedBytes() {
        String header = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        return header != null && header.matches("\\d{1,18}") ? Long.parseLong(header) : 0;
    }
}
