package org.damasktiller.daemon.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import org.damasktiller.daemon.entry.EntryFixture.Answer;
import org.damasktiller.daemon.job.JobBody;
import org.damasktiller.daemon.job.JobServlets;
import org.damasktiller.daemon.operator.OperatorPaths;
import org.damasktiller.daemon.operator.StatusBody;
import org.damasktiller.daemon.operator.TableBody;
import org.damasktiller.daemon.operator.TablePutBody;
import org.damasktiller.error.Step;
import org.damasktiller.standin.http.CallHeaders;
import org.damasktiller.standin.http.Json;
import org.damasktiller.standin.store.StoreFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryNodeTest {

    private static final String TABLE =
            """
            kind,tenant,class,repeat,processors,memory,run_time
            lookup,office,interactive,idempotent,250m,64MB,
            invoice,office,interactive,at-most-once,250m,64MB,
            forecast,office,batch,idempotent,1,64MB,1h
            """;

    private EntryFixture fixture;

    @BeforeEach
    void startFixture() {
        fixture = new EntryFixture();
        assertThat(put(TABLE).status(), is(200));
        awaitTable(1);
    }

    @AfterEach
    void closeFixture() {
        fixture.close();
    }

    @Test
    void testCallGetsItsWholeAnswer() {
        assertThat(answeredCall("order 17").body(), is("order 17"));
    }

    @Test
    void testJobIsAcceptedOnceForOneKey() {
        JobBody first = acceptedJob("key-1");
        JobBody second = acceptedJob("key-1");
        assertThat(second.job(), is(first.job()));
        Answer cancelled =
                fixture.send(
                        HttpRequest.builder(
                                HttpMethod.DELETE,
                                fixture.callerUrl(JobServlets.PATH + "/" + first.job())));
        assertThat(cancelled.status(), is(200));
        String metrics =
                fixture.send(HttpRequest.get(fixture.operatorUrl(OperatorPaths.METRICS))).body();
        assertThat(
                metrics,
                allOf(
                        containsString("latency.office.forecast"),
                        containsString("outcomes.office.forecast.accepted")));
    }

    @Test
    void testAtMostOnceCallRunsOnceForOneKey() {
        Answer first = invoice("invoice-1");
        while (first.body().contains("NOT_RUN")) {
            first = invoice("invoice-1");
        }
        assertThat(first.body(), is("17 euros"));
        Answer second = invoice("invoice-1");
        assertThat(second.status(), is(409));
        assertThat(second.body(), containsString("ALREADY_CLAIMED"));
        assertThat(fixture.endpointCounters().executions("invoice-1"), is(1));
    }

    @Test
    void testAtMostOnceCallIsNotRunWithoutTheStore() {
        fixture.setStoreFaults(StoreFaults.DOWN);
        Answer answer = invoice("invoice-2");
        assertThat(answer.status(), is(503));
        assertThat(answer.body(), containsString("NOT_RUN"));
        assertThat(fixture.endpointCounters().executions("invoice-2"), is(0));
        fixture.setStoreFaults(StoreFaults.NONE);
    }

    @Test
    void testUnknownKindIsRefused() {
        assertRefused(call("nonsense", ""), 404, "UNKNOWN_KIND");
        assertRefused(submit("nonsense", "key", ""), 404, "UNKNOWN_KIND");
    }

    @Test
    void testMissingKeyIsRefused() {
        assertRefused(
                fixture.send(HttpRequest.post(fixture.callerUrl(JobServlets.PATH + "/forecast"))),
                400,
                "MISSING_KEY");
        assertRefused(call("invoice", "17 euros"), 400, "MISSING_KEY");
        assertThat(fixture.endpointCounters().run(), is(0L));
    }

    @Test
    void testOversizeBodyIsRefused() {
        String body = "x".repeat(10_001);
        assertRefused(submit("forecast", "key", body), 413, "BODY_TOO_LARGE");
        assertRefused(call("lookup", body), 413, "BODY_TOO_LARGE");
        assertThat(fixture.endpointCounters().run(), is(0L));
    }

    @Test
    void testBrokenTextIsRefused() {
        byte[] broken = {(byte) 0xc3, (byte) 0x28};
        Answer answer =
                fixture.send(
                        HttpRequest.post(fixture.callerUrl(JobServlets.PATH + "/forecast"))
                                .withHeader(CallHeaders.KEY, "key")
                                .withBody(broken));
        assertRefused(answer, 400, "BAD_ENCODING");
    }

    @Test
    void testUnknownJobIsNotSaidToBeNotRun() {
        Answer answer =
                fixture.send(
                        HttpRequest.get(
                                fixture.callerUrl(JobServlets.PATH + "/leinster-1.0-1-999")));
        while (answer.body().contains("NOT_OWNER")) {
            answer =
                    fixture.send(
                            HttpRequest.get(
                                    fixture.callerUrl(JobServlets.PATH + "/leinster-1.0-1-999")));
        }
        assertThat(answer.status(), is(404));
        assertThat(answer.body(), containsString("OUTCOME_UNKNOWN"));
    }

    @ParameterizedTest
    @CsvSource({
        "'kind,tenant,class\nlookup,office', malformed",
        "'kind,tenant,nonsense\nlookup,office,1\n', nonsense",
        "'kind,tenant,memory\nlookup,office,5 parsecs\n', parsecs",
        "'kind,tenant,limit_running\nlookup,office,-4\n', -4",
        "'kind,tenant\nlookup,office\nlookup,office\n', lookup",
        "'kind,tenant,place\nlookup,office,atlantis\n', atlantis"
    })
    void testBadTableChangesNothing(String csv, String named) {
        Answer answer = put(csv);
        assertThat(answer.status(), is(400));
        assertThat(answer.body(), containsString("BAD_TABLE"));
        if (!named.equals("malformed")) {
            assertThat(answer.body(), containsString(named));
        }
        TableBody table =
                Json.read(
                        fixture.send(HttpRequest.get(fixture.operatorUrl(OperatorPaths.TABLE)))
                                .body()
                                .getBytes(StandardCharsets.UTF_8),
                        TableBody.class,
                        Step.READ,
                        "");
        assertThat(table.version(), is(1L));
    }

    @Test
    void testStoreOutageRefusesNewJobsAndKeepsServingCalls() {
        acceptedJob("key-before");
        fixture.setStoreFaults(StoreFaults.DOWN);
        Answer answer = submit("forecast", "key-during", "");
        assertThat(answer.status(), is(503));
        assertThat(
                answer.body(),
                allOf(containsString("STORE_UNAVAILABLE"), containsString("retryAfterMillis")));
        assertThat(answeredCall("order 18").body(), is("order 18"));
        fixture.setStoreFaults(StoreFaults.NONE);
    }

    @Test
    void testDrainFinishesAndRefusesNothingInFlight() {
        acceptedJob("key-drain");
        assertThat(fixture.node().drain().join(), is(true));
    }

    private Answer invoice(String key) {
        return fixture.send(
                HttpRequest.post(fixture.callerUrl("/v1/call/invoice"))
                        .withHeader(CallHeaders.TENANT, "office")
                        .withHeader(CallHeaders.KEY, key)
                        .withHeader(CallHeaders.DEADLINE_MILLIS, "2000")
                        .withBody("17 euros".getBytes(StandardCharsets.UTF_8)));
    }

    private Answer answeredCall(String body) {
        Answer answer = call("lookup", body);
        while (answer.body().contains("NO_ENDPOINT")) {
            answer = call("lookup", body);
        }
        return answer;
    }

    private Answer call(String kind, String body) {
        return fixture.send(
                HttpRequest.post(fixture.callerUrl("/v1/call/" + kind))
                        .withHeader(CallHeaders.TENANT, "office")
                        .withBody(body.getBytes(StandardCharsets.UTF_8)));
    }

    private Answer submit(String kind, String key, String payload) {
        return fixture.send(
                HttpRequest.post(fixture.callerUrl(JobServlets.PATH + "/" + kind))
                        .withHeader(CallHeaders.KEY, key)
                        .withBody(payload.getBytes(StandardCharsets.UTF_8)));
    }

    private JobBody acceptedJob(String key) {
        Answer answer = submit("forecast", key, "");
        while (answer.status() == 503) {
            answer = submit("forecast", key, "");
        }
        assertThat(answer.body(), answer.status(), is(202));
        return Json.read(
                answer.body().getBytes(StandardCharsets.UTF_8), JobBody.class, Step.READ, "");
    }

    private Answer put(String csv) {
        TablePutBody body =
                new TablePutBody("edit-" + csv.hashCode() % 1000, "tester", version(), csv);
        return fixture.send(
                HttpRequest.post(fixture.operatorUrl(OperatorPaths.TABLE))
                        .withBody(Json.write(body).getBytes(StandardCharsets.UTF_8)));
    }

    private void awaitTable(long version) {
        while (version() < version) {
            Thread.onSpinWait();
        }
    }

    private long version() {
        Answer answer = fixture.send(HttpRequest.get(fixture.operatorUrl(OperatorPaths.STATUS)));
        return Json.read(
                        answer.body().getBytes(StandardCharsets.UTF_8),
                        StatusBody.class,
                        Step.READ,
                        "")
                .tableVersion();
    }

    private static void assertRefused(Answer answer, int status, String code) {
        assertThat(answer.body(), answer.status(), is(status));
        assertThat(answer.body(), allOf(containsString(code), containsString("NOT_RUN")));
    }
}
