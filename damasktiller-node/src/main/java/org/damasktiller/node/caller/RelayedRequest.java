package org.damasktiller.node.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.damasktiller.platform.call.JsonBodies;

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
     * Decodes a request.
     *
     * @param node the JSON object; fields that it lacks are empty
     * @return the request
     */
    static RelayedRequest decode(JsonNode node) {
        return new RelayedRequest(
                node.path("method").asText(),
                node.path("host").asText(),
                node.path("path").asText(),
                node.path("timeoutMillis").asLong(),
                node.path("manifestRevision").asLong(),
                node.path("body"));
    }
}
