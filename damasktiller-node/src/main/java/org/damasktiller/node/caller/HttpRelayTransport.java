package org.damasktiller.node.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.platform.call.CallResult;
import org.damasktiller.platform.call.JsonBodies;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.platform.settings.Addresses;

/** Sends requests to the {@link RelayServlet} of peers. */
final class HttpRelayTransport implements RelayTransport {

    /** The path at which peers take requests. */
    static final String PATH = "/relay";

    /** The HTTP client. */
    private final JsonHttpClient client;

    /**
     * Creates a transport.
     *
     * @param client the HTTP client
     */
    HttpRelayTransport(JsonHttpClient client) {
        this.client = client;
    }

    @Override
    public void send(RelayPeer peer, RelayedRequest request, Consumer<RelayResult> callback) {
        InetSocketAddress address = Addresses.parse(peer.address());
        if (address == null) {
            callback.accept(new RelayResult(null, 0, false, "malformed address " + peer.address()));
            return;
        }
        client.post(
                address,
                PATH,
                request.encode(),
                Map.of(),
                result -> callback.accept(decode(result)));
    }

    /**
     * Encodes the response to a relayed request.
     *
     * @param relayed the response
     * @param body its JSON body
     * @return the JSON object
     */
    static JsonNode encode(RelayedResponse relayed, JsonNode body) {
        ObjectNode node = JsonBodies.object();
        node.put("status", relayed.response().status());
        node.put("retryAfterSeconds", relayed.response().retryAfterSeconds());
        node.put("manifestRevision", relayed.manifestRevision());
        node.set("body", body);
        return node;
    }

    /**
     * Decodes the result of a call. A peer of an earlier release names no version of the manifest.
     *
     * @param result the result
     * @return the response of the peer, or none if it is not understood
     */
    static RelayResult decode(CallResult result) {
        int status = result.body().path("status").asInt();
        if (result.status() != CallResult.OK || status == 0) {
            return new RelayResult(null, 0, result.possiblySent(), result.describe());
        }
        return new RelayResult(
                new CallerResponse(
                        status,
                        JsonBodies.write(result.body().path("body")),
                        result.body().path("retryAfterSeconds").asInt()),
                result.body().path("manifestRevision").asLong(),
                true,
                "");
    }
}
