package org.damasktiller.daemon.gateway;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/** Holds the whole answer of an endpoint. */
final class Answer {

    /** The status. */
    private final int code;

    /** The type of the body, or null. */
    private final @Nullable String contentType;

    /** The body. */
    private final byte[] body;

    /**
     * Creates an answer.
     *
     * @param code the status
     * @param contentType the type of the body, or null
     * @param body the body, which must not be changed afterwards
     */
    Answer(int code, @Nullable String contentType, byte[] body) {
        this.code = code;
        this.contentType = contentType;
        this.body = body;
    }

    /**
     * Makes the response to the caller.
     *
     * @return the response
     */
    HttpResponse response() {
        HttpResponse.Builder builder = HttpResponse.ofCode(code);
        if (contentType != null) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        }
        return builder.withBody(body).build();
    }
}
