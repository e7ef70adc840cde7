package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.platform.call.InvalidFieldException;
import org.damasktiller.platform.call.JsonBodies;
import org.junit.jupiter.api.Test;

/** Tests the form in which requests are passed on to peers. */
final class RelayedRequestTest {

    @Test
    void requestIsDecodedAsItWasEncoded() throws Exception {
        JsonNode body = JsonBodies.read("{\"spec\":\"x\"}".getBytes(StandardCharsets.UTF_8));
        RelayedRequest request = new RelayedRequest("POST", "host", "/q/id", 1_200, 7, body);
        assertThat(decode(request), equalTo(request));
    }

    @Test
    void requestWithoutBodyStaysWithoutBody() throws Exception {
        RelayedRequest request =
                new RelayedRequest("GET", "host", "/q/id", 1_200, 7, MissingNode.getInstance());
        assertThat(decode(request).body().isMissingNode(), is(true));
    }

    /** A peer of another release may leave fields out; nothing is thrown. */
    @Test
    void messageWithoutFieldsIsDecodedToEmptyValues() throws Exception {
        RelayedRequest request = RelayedRequest.decode(JsonBodies.read(new byte[] {'{', '}'}));
        assertThat(request.method(), equalTo(""));
        assertThat(request.timeoutMillis(), equalTo(0L));
        assertThat(request.manifestRevision(), equalTo(0L));
    }

    /** Values out of range, or of another type, were cut to some number or text. */
    @Test
    void messagesWithFieldsOutOfRangeAreNotBelieved() throws Exception {
        List<String> wrong = new ArrayList<>();
        Map<String, String> messages = new LinkedHashMap<>();
        String method = "method: must be a text of at most 16 bytes in UTF-8";
        messages.put("{\"method\":5}", method);
        messages.put("{\"method\":\"" + "A".repeat(17) + "\"}", method);
        String host = "host: must be a text of at most 65536 bytes in UTF-8";
        messages.put("{\"host\":[]}", host);
        messages.put("{\"host\":\"" + "h".repeat(65_537) + "\"}", host);
        String path = "path: must be a text of at most 65536 bytes in UTF-8";
        messages.put("{\"path\":true}", path);
        messages.put("{\"path\":\"" + "/".repeat(65_537) + "\"}", path);
        String timeout = "timeoutMillis: must be an integer from 0 to 999999999";
        messages.put("{\"timeoutMillis\":-1}", timeout);
        messages.put("{\"timeoutMillis\":9223372036854775807}", timeout);
        messages.put("{\"timeoutMillis\":\"5\"}", timeout);
        String revision = "manifestRevision: must be an integer from 0 to 9223372036854775807";
        messages.put("{\"manifestRevision\":9223372036854775808}", revision);
        messages.put("{\"manifestRevision\":1e300}", revision);
        messages.put("{\"manifestRevision\":-1}", revision);
        messages.put("[]", "the body: must be an object");
        for (Map.Entry<String, String> entry : messages.entrySet()) {
            String message;
            try {
                message = RelayedRequest.decode(read(entry.getKey())).toString();
            } catch (InvalidFieldException exception) {
                message = String.valueOf(exception.getMessage());
            }
            if (!message.equals(entry.getValue())) {
                wrong.add(entry.getValue());
            }
        }
        assertThat(wrong, empty());
    }

    /** Each body that a VM may pass on is understood by its peer. */
    @Test
    void bodyOfTheDeepestNestingIsUnderstood() throws Exception {
        String nested = "[".repeat(64) + "]".repeat(64);
        JsonNode body = JsonBodies.readAsText(nested.getBytes(StandardCharsets.UTF_8));
        RelayedRequest request = new RelayedRequest("POST", "host", "/q/id", 1_200, 7, body);
        byte[] message = JsonBodies.write(request.encode());
        assertThat(
                RelayedRequest.decode(JsonBodies.readRelayed(message)).body(),
                equalTo(read(nested)));
    }

    /** A body of characters that Jackson escapes became three times as long as it was. */
    @Test
    void bodyIsSentAsTheCallerWroteIt() throws Exception {
        String text = " {\"spec\":\"" + "\ud83d\ude00".repeat(1_000) + "\", \"other\":[1e2,1.50]} ";
        JsonNode body = JsonBodies.readAsText(text.getBytes(StandardCharsets.UTF_8));
        RelayedRequest request = new RelayedRequest("POST", "host", "/q/id", 1_200, 7, body);
        String message = new String(JsonBodies.write(request.encode()), StandardCharsets.UTF_8);
        assertThat(message, containsString(text));
        assertThat(
                JsonBodies.readRelayed(message.getBytes(StandardCharsets.UTF_8)).path("body"),
                equalTo(read(text)));
    }

    // The number became infinite and was sent as text, which the peer's decoder took for 0.
    @Test
    void numberTooLargeForTheDecoderIsNotPassedOnAsText() throws Exception {
        byte[] bytes = "{\"number\":1e400}".getBytes(StandardCharsets.UTF_8);
        RelayedRequest request =
                new RelayedRequest("POST", "host", "/q/id", 1_200, 7, JsonBodies.readAsText(bytes));
        byte[] message = JsonBodies.write(request.encode());
        JsonNode number =
                RelayedRequest.decode(JsonBodies.readRelayed(message)).body().path("number");
        assertThat(number.isNumber(), equalTo(true));
    }

    private static JsonNode read(String text) throws IOException {
        return JsonBodies.read(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Sends a request through its encoded form.
     *
     * @param request the request
     * @return the decoded request
     * @throws Exception if the encoded form is not understood
     */
    private static RelayedRequest decode(RelayedRequest request) throws Exception {
        return RelayedRequest.decode(JsonBodies.read(JsonBodies.write(request.encode())));
    }
}
