package org.damasktiller.daemon.gateway;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Holds the answer of an endpoint: whole, or with a large body that still streams. If a streamed
 * body breaks off, the caller's connection is closed before the end of the body, so that the part
 * cannot be taken for the whole.
 *
 * @param code the status
 * @param contentType the type of the body, or null
 * @param body the body
 */
record Answer(int code, @Nullable String contentType, Body body) {

    /**
     * Makes the response to the caller. To be called once.
     *
     * @return the response
     */
    HttpResponse response() {
        HttpResponse.Builder builder = HttpResponse.ofCode(code);
        if (contentType != null) {
            builder.withHeader(HttpHeaders.CONTENT_TYPE, contentType);
        }
        return body.whole()
                ? builder.withBody(body.head()).build()
                : builder.withBodyStream(body.stream()).build();
    }

    /** Throws the answer away and so closes the connection on which it still streams. */
    void discard() {
        if (body.rest() != null) {
            body.rest().close();
        }
    }
}
