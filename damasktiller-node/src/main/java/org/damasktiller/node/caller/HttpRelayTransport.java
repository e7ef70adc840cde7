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
            callback.accept(new RelayResult(null, false, "malformed address " + peer.address()));
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
     * @param response the response
     * @param body its JSON body
     * @return the JSON object
     */
    static JsonNode encode(CallerResponse response, JsonNode body) {
        ObjectNode node = JsonBodies.object();
        node.put("status", response.status());
        node.put("retryAfterSeconds", response.retryAfterSeconds());
        node.set("body", body);
        return node;
    }

    /**
     * Decodes the result of a call.
     *
     * @param result the result
     * @return the response of the peer, or none if it is not understood
     */
    private static RelayResult decode(CallResult result) {
        int status = result.body().path("status").asInt();
        if (result.status() != CallResult.OK || status == 0) {
            return new RelayResult(null, result.possiblySent(), result.describe());
        }
        return new RelayResult(
                new CallerResponse(
                        status,
                        JsonBodies.write(result.body().path("body")),
                        result.body().path("retryAfterSeconds").asInt()),
                true,
                "");
    }
}
