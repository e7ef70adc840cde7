package org.damasktiller.node.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
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
