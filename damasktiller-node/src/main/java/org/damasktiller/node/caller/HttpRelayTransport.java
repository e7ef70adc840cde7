package org.damasktiller.node.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.platform.call.CallResult;
import org.damasktiller.platform.call.InvalidFieldException;
import org.damasktiller.platform.call.JsonBodies;
import org.damasktiller.platform.call.JsonFields;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.platform.settings.Addresses;

/** Sends requests to the {@link RelayServlet} of peers. */
final class HttpRelayTransport implements RelayTransport {

    /** The path at which peers take requests. */
    static final String PATH = "/relay";

    /** The lowest status of an answer to a caller. */
    private static final int MIN_STATUS = 200;

    /** The highest status of an answer to a caller. */
    private static final int MAX_STATUS = 599;

    /** The longest time after which a caller is told to come back, in seconds: a day. */
    private static final int MAX_RETRY_AFTER_SECONDS = 86_400;

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
     * A request that the peer has not understood was not carried out.
     *
     * @param result the result
     * @return the response of the peer, or none if it is not understood
     */
    static RelayResult decode(CallResult result) {
        if (result.status() != CallResult.OK) {
            boolean possiblyExecuted =
                    result.possiblySent() && result.status() != CallResult.BAD_REQUEST;
            return new RelayResult(null, 0, possiblyExecuted, result.describe());
        }
        try {
            JsonFields fields = JsonFields.ofBody(result.body());
            return new RelayResult(
                    new CallerResponse(
                            (int) fields.requiredInteger("status", MIN_STATUS, MAX_STATUS),
                            JsonBodies.write(result.body().path("body")),
                            (int) fields.integer("retryAfterSeconds", MAX_RETRY_AFTER_SECONDS)),
                    fields.integer("manifestRevision", Long.MAX_VALUE),
                    true,
                    "");
        } catch (InvalidFieldException exception) {
            return new RelayResult(
                    null, 0, result.possiblySent(), String.valueOf(exception.getMessage()));
        }
    }
}
