package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import org.damasktiller.platform.call.CallResult;
import org.damasktiller.platform.call.JsonBodies;
import org.junit.jupiter.api.Test;

/** Tests the form of the answers to requests that were passed on. */
final class HttpRelayTransportTest {

    @Test
    void answerNamesTheManifestThatItRestsOn() throws IOException {
        RelayResult result = HttpRelayTransport.decode(answered(encode()));
        assertThat(result.manifestRevision(), equalTo(42L));
        assertThat(result.response(), notNullValue());
        assertThat(result.response().status(), equalTo(200));
    }

    // A peer of an earlier release names no manifest.
    @Test
    void answerOfAnEarlierReleaseIsUnderstood() throws IOException {
        ObjectNode answer = encode();
        answer.remove("manifestRevision");
        RelayResult result = HttpRelayTransport.decode(answered(answer));
        assertThat(result.manifestRevision(), equalTo(0L));
        assertThat(result.response(), notNullValue());
        assertThat(result.response().status(), equalTo(200));
    }

    // Values out of range were cut, and the VM handed on a status that HTTP does not have.
    @Test
    void answersWithFieldsOutOfRangeAreNotBelieved() throws IOException {
        for (ObjectNode answer :
                List.of(
                        encode().put("status", 4_294_967_496L),
                        encode().put("status", "200"),
                        encode().put("status", 99_999),
                        encode().put("retryAfterSeconds", -1),
                        encode().put("retryAfterSeconds", 4_294_967_297L),
                        encode().put("manifestRevision", 1e300),
                        encode().put("manifestRevision", -1))) {
            RelayResult result = HttpRelayTransport.decode(answered(answer));
            assertThat(answer.toString(), result.response(), nullValue());
            assertThat(result.manifestRevision(), equalTo(0L));
            assertThat(result.possiblySent(), equalTo(true));
            assertThat(result.failure(), containsString(": must be an integer from "));
        }
    }

    // The caller was told that the outcome is unknown.
    @Test
    void requestThatThePeerHasNotUnderstoodWasNotCarriedOut() {
        RelayResult result =
                HttpRelayTransport.decode(
                        new CallResult(
                                CallResult.BAD_REQUEST, true, MissingNode.getInstance(), ""));
        assertThat(result.response(), nullValue());
        assertThat(result.possiblySent(), equalTo(false));
    }

    private static ObjectNode encode() throws IOException {
        CallerResponse response = CallerResponse.accepted();
        return (ObjectNode)
                HttpRelayTransport.encode(
                        new RelayedResponse(response, 42), JsonBodies.read(response.body()));
    }

    private static CallResult answered(JsonNode body) {
        return new CallResult(CallResult.OK, true, body, "");
    }
}
