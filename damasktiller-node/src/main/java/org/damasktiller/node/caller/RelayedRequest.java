package org.damasktiller.node.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.damasktiller.platform.call.InvalidFieldException;
import org.damasktiller.platform.call.JsonBodies;
import org.damasktiller.platform.call.JsonFields;

/**
 * A caller's request that a VM passes on to a peer. Sent as JSON under the names of the components.
 *
 * @param method the HTTP method
 * @param host the host that the caller named, without a port
 * @param path the path
 * @param timeoutMillis how long the caller still waits for the response, in milliseconds
 * @param manifestRevision the store's revision of the oldest manifest by which the peer may handle
 *     the request, 0 if any will do
 * @param body the JSON body of the request; a missing node if it has none
 */
record RelayedRequest(
        String method,
        String host,
        String path,
        long timeoutMillis,
        long manifestRevision,
        JsonNode body) {

    /** The longest HTTP method, in bytes. */
    private static final int MAX_METHOD_BYTES = 16;

    /** The longest host or path, in bytes; the HTTP library takes shorter lines only. */
    private static final int MAX_LINE_BYTES = 1 << 16;

    /** The longest time for which a caller waits, in milliseconds: that of its header. */
    private static final long MAX_TIMEOUT_MILLIS = 999_999_999;

    /**
     * Encodes the request.
     *
     * @return the JSON object
     */
    JsonNode encode() {
        ObjectNode node = JsonBodies.object();
        node.put("method", method);
        node.put("host", host);
        node.put("path", path);
        node.put("timeoutMillis", timeoutMillis);
        node.put("manifestRevision", manifestRevision);
        if (!body.isMissingNode()) {
            node.set("body", body);
        }
        return node;
    }

    /**
     * Decodes a request. Unknown fields are ignored.
     *
     * @param node the JSON object; fields that it lacks are empty
     * @return the request
     * @throws InvalidFieldException if the node is no object, or if a field has another type or is
     *     out of range
     */
    static RelayedRequest decode(JsonNode node) throws InvalidFieldException {
        JsonFields fields = JsonFields.ofBody(node);
        return new RelayedRequest(
                fields.text("method", MAX_METHOD_BYTES),
                fields.text("host", MAX_LINE_BYTES),
                fields.text("path", MAX_LINE_BYTES),
                fields.integer("timeoutMillis", MAX_TIMEOUT_MILLIS),
                fields.integer("manifestRevision", Long.MAX_VALUE),
                node.path("body"));
    }
}
