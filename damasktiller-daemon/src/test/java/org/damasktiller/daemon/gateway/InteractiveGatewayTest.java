package org.damasktiller.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.damasktiller.routing.RoutingSettings;
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

    @Test
    void testLargeBodiesStreamWholeInBothDirections() {
        try (GatewayFixture fixture = new GatewayFixture(1, EndpointBehaviour.healthy(0))) {
            String large = "0123456789abcdef".repeat(1 << 17);
            HttpResponse<String> answer = fixture.call("route", null, large);
            assertThat(answer.statusCode(), is(200));
            assertThat(answer.body().equals(large), is(true));
            assertThat(fixture.call("route", null, "next").body(), is("next"));
        }
    }

    @Test
    void testCutOffStreamIsNeverTakenForAWholeAnswer() {
        EndpointBehaviour broken =
                EndpointBehaviour.healthy(0).failing(() -> EndpointFault.TRUNCATED, 0);
        try (GatewayFixture fixture = new GatewayFixture(1, broken)) {
            CompletableFuture<HttpResponse<String>> answer =
                    fixture.callLater("route", null, "0123456789abcdef".repeat(1 << 17), 20_000);
            assertThrows(CompletionException.class, answer::join);
        }
    }

    @Test
    void testSilentConnectionsAreReplacedWhileNewOnesWork() {
        AtomicInteger count = new AtomicInteger();
        EndpointBehaviour silent =
                EndpointBehaviour.healthy(0)
                        .failing(
                                () ->
                                        count.incrementAndGet() % 25 == 0
                                                ? EndpointFault.SILENT
                                                : EndpointFault.NONE,
                                0);
        try (GatewayFixture fixture = new GatewayFixture(3, silent)) {
            for (int index = 0; index < 100; index++) {
                assertThat(fixture.call("route", null, "b" + index).body(), is("b" + index));
            }
        }
    }

    @Test
    void testMalformedAndOversizedRequestsAreRefused() throws IOException {
        GatewayLimits limits = new GatewayLimits(1000, 1000, 1000, 1000, 1000, 1000, 1000);
        try (GatewayFixture fixture =
                new GatewayFixture(
                        1, EndpointBehaviour.healthy(0), RoutingSettings.DEFAULT, limits)) {
            String head =
                    "POST /v1/call/route HTTP/1.1\r\nHost: a\r\nDamasktiller-Tenant: corrib\r\n";
            List<String> wrong =
                    List.of(
                            "GARBAGE\r\n\r\n",
                            head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                            head
                                    + "Content-Length: 1\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + "0\r\n\r\n",
                            head + "Content-Length: -1\r\n\r\n",
                            head + "X: " + "y".repeat(20_000) + "\r\n\r\n",
                            head + "Content-Length: 1001\r\n\r\n" + "z".repeat(1001));
            for (String request : wrong) {
                try (Socket socket = fixture.rawCall(request)) {
                    byte[] start = socket.getInputStream().readNBytes(10);
                    assertThat(
                            new String(start, StandardCharsets.US_ASCII), startsWith("HTTP/1.1 4"));
                }
            }
            assertThat(fixture.counters.received(), is(0L));
        }
    }

    @Test
    void testCallerThatIsGoneIsNotServedFromTheQueue() throws Exception {
        try (GatewayFixture fixture = new GatewayFixture(1, EndpointBehaviour.healthy(0))) {
            fixture.endpoints
                    .get(0)
                    .behave(EndpointBehaviour.healthy(0).failing(() -> EndpointFault.SILENT, 0));
            List<CompletableFuture<HttpResponse<String>>> held = new ArrayList<>();
            for (int index = 0; index < 8; index++) {
                held.add(fixture.callLater("billing", "h" + index, "x", 3000));
            }
            GatewayFixture.await(() -> fixture.counters.received() == 8);
            Socket gone =
                    fixture.rawCall(
                            String.join(
                                    "\r\n",
                                    "POST /v1/call/billing HTTP/1.1",
                                    "Host: a",
                                    "Damasktiller-Tenant: corrib",
                                    "Damasktiller-Key: gone",
                                    "Content-Length: 1",
                                    "",
                                    "x"));
            GatewayFixture.await(() -> fixture.unfinishedCalls() == 9);
            gone.close();
            GatewayFixture.await(() -> fixture.unfinishedCalls() == 8);
            held.forEach(CompletableFuture::join);
            assertThat(fixture.claims.size(), is(8));
        }
    }

    @Test
    void testRandomFaultsNeitherDoubleNorCrossRequestsNorBelieThem() {
        SplittableRandom random = new SplittableRandom(20261203);
        List<EndpointFault> faults =
                List.of(EndpointFault.TRUNCATED, EndpointFault.CLOSED, EndpointFault.ERROR);
        EndpointBehaviour faulty =
                EndpointBehaviour.healthy(0)
                        .failing(
                                () -> {
                                    synchronized (random) {
                                        int draw = random.nextInt(30);
                                        return draw < faults.size()
                                                ? faults.get(draw)
                                                : EndpointFault.NONE;
                                    }
                                },
                                0);
        try (GatewayFixture fixture = new GatewayFixture(5, faulty)) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int index = 0; index < 1000; index++) {
                String kind = index % 2 == 0 ? "billing" : "route";
                answers.add(fixture.callLater(kind, "key-" + index, "body-" + index, 20_000));
            }
            for (int index = 0; index < 1000; index++) {
                HttpResponse<String> answer = answers.get(index).join();
                int executions = fixture.counters.executions("key-" + index);
                if (answer.statusCode() == 200) {
                    assertThat(answer.body(), is("body-" + index));
                    assertThat(executions, greaterThan(0));
                }
                if (answer.body().contains("NOT_RUN")) {
                    assertThat(executions, is(0));
                }
                if (index % 2 == 0) {
                    assertThat(executions, lessThanOrEqualTo(1));
                }
            }
        }
    }
}
