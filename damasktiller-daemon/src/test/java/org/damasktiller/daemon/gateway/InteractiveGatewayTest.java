package org.damasktiller.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.damasktiller.standin.endpoint.EndpointBehaviour;
import org.damasktiller.standin.endpoint.EndpointFault;
import org.junit.jupiter.api.Test;

class InteractiveGatewayTest {

    @Test
    void testEachCallerGetsItsOwnAnswer() {
        try (GatewayFixture fixture = new GatewayFixture(3, EndpointBehaviour.healthy(1))) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int index = 0; index < 200; index++) {
                answers.add(fixture.callLater("route", null, "body-" + index, 20_000));
            }
            for (int index = 0; index < 200; index++) {
                HttpResponse<String> answer = answers.get(index).join();
                assertThat(answer.statusCode(), is(200));
                assertThat(answer.body(), is("body-" + index));
            }
        }
    }

    @Test
    void testUnknownKindIsRefusedAsNotRun() {
        try (GatewayFixture fixture = new GatewayFixture(1, EndpointBehaviour.healthy(0))) {
            HttpResponse<String> answer = fixture.call("unknown", null, "x");
            assertThat(answer.statusCode(), is(404));
            assertThat(answer.body(), containsString("\"outcome\":\"NOT_RUN\""));
        }
    }

    @Test
    void testAtMostOnceRequestRunsOnceForItsKey() {
        try (GatewayFixture fixture = new GatewayFixture(2, EndpointBehaviour.healthy(0))) {
            assertThat(fixture.call("billing", "k1", "x").statusCode(), is(200));
            HttpResponse<String> second = fixture.call("billing", "k1", "x");
            assertThat(second.statusCode(), is(409));
            assertThat(second.body(), containsString("OUTCOME_UNKNOWN"));
            assertThat(fixture.call("billing", null, "x").body(), containsString("MISSING_KEY"));
            assertThat(fixture.counters.executions("k1"), is(1));
        }
    }

    @Test
    void testBrokenAnswerOfAtMostOnceRequestIsUnknownAndNotSentAgain() {
        for (EndpointFault fault : List.of(EndpointFault.TRUNCATED, EndpointFault.CLOSED)) {
            EndpointBehaviour broken = EndpointBehaviour.healthy(0).failing(() -> fault, 0);
            try (GatewayFixture fixture = new GatewayFixture(2, broken)) {
                HttpResponse<String> answer = fixture.call("billing", "k1", "0123456789");
                assertThat(answer.statusCode(), is(502));
                assertThat(answer.body(), containsString("OUTCOME_UNKNOWN"));
                assertThat(fixture.counters.executions("k1"), is(1));
            }
        }
    }

    @Test
    void testLeavingEndpointGetsNothingNewAndIsReported() {
        try (GatewayFixture fixture = new GatewayFixture(3, EndpointBehaviour.healthy(0))) {
            fixture.endpoints.get(0).behave(EndpointBehaviour.healthy(0).leaving());
            for (int index = 0; index < 50; index++) {
                assertThat(fixture.call("route", null, "x" + index).statusCode(), is(200));
            }
            assertThat(fixture.leaving.size(), is(1));
            assertThat(fixture.counters.received(), is(51L));
        }
    }

    @Test
    void testNoEndpointIsToldAtOnce() {
        try (GatewayFixture fixture = new GatewayFixture(0, EndpointBehaviour.healthy(0))) {
            HttpResponse<String> answer = fixture.callLater("route", null, "x", 600_000).join();
            assertThat(answer.statusCode(), is(503));
            assertThat(answer.body(), containsString("NO_ENDPOINT"));
            assertThat(answer.headers().firstValue("Retry-After").orElse(""), is("1"));
        }
    }

    @Test
    void testRefusedConnectionsAreNotRunAndRetriedWithinTheBudget() {
        try (GatewayFixture fixture = new GatewayFixture(2, EndpointBehaviour.healthy(0))) {
            fixture.endpointServers.forEach(server -> server.close());
            for (int index = 0; index < 20; index++) {
                HttpResponse<String> answer = fixture.call("billing", "k" + index, "x");
                assertThat(answer.body(), containsString("NOT_RUN"));
            }
            assertThat(fixture.counters.received(), lessThanOrEqualTo(0L));
            fixture.endpointServers.clear();
        }
    }
}
