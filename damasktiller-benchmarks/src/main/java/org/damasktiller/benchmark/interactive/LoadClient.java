package org.damasktiller.benchmark.interactive;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.damasktiller.platform.http.AddressResolver;
import org.damasktiller.standin.http.CallHeaders;
import org.jspecify.annotations.Nullable;

/** Makes HTTP requests on an event loop of its own and checks that each gets its own answer. */
final class LoadClient implements AutoCloseable {

    /** The tenant that calls. */
    static final String TENANT = "corrib";

    /** Carries the outcome of a failed call within the error's JSON. */
    private static final String NOT_RUN = "\"NOT_RUN\"";

    /** How much longer than the deadline the client waits, in milliseconds. */
    private static final long MARGIN_MILLIS = 3000;

    /** How long an idle connection is kept open. */
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

    /** The status of a whole answer. */
    private static final int SUCCESS = 200;

    /** The number of nanoseconds in a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The status from which answers are errors. */
    private static final int ERROR = 400;

    /** The event loop. */
    private final Eventloop eventloop = Eventloop.create();

    /** The client. */
    private final HttpClient client;

    /** The number of the latest request. */
    private long lastNumber;

    /** The number of requests under way. */
    private int underWay;

    /** Creates a client and starts its thread. */
    LoadClient() {
        eventloop.keepAlive(true);
        client =
                HttpClient.builder(eventloop, new AddressResolver())
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .withForcedShutdown(true)
                        .build();
        Thread thread = new Thread(eventloop, "load");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Runs a load and waits for its end.
     *
     * @param plan the load
     * @return the results
     */
    LoadResult run(LoadPlan plan) {
        CompletableFuture<LoadResult> end = new CompletableFuture<>();
        eventloop.execute(() -> begin(plan, new LoadResult(), System.nanoTime(), end));
        return end.join();
    }

    @Override
    public void close() {
        eventloop.submit(client::stop).join();
        eventloop.execute(() -> eventloop.keepAlive(false));
        eventloop.execute(eventloop::breakEventloop);
    }

    /**
     * Begins the requests that are due, and goes on until the plan is done.
     *
     * @param plan the load
     * @param result the results
     * @param startNanos when the load began
     * @param end completed at the end
     */
    private void begin(
            LoadPlan plan, LoadResult result, long startNanos, CompletableFuture<LoadResult> end) {
        long elapsed = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
        boolean over = elapsed >= plan.durationMillis() || result.begun >= plan.requests();
        result.over = over;
        if (over && underWay == 0) {
            end.complete(result);
            return;
        }
        if (!over) {
            result.tookMillis = Math.max(1, elapsed);
            long due =
                    plan.ratePerSecond() == 0
                            ? plan.requests()
                            : plan.ratePerSecond() * elapsed / 1000;
            while (result.begun < due && underWay < plan.concurrency()) {
                request(plan, result);
            }
        }
        eventloop.delay(1, () -> begin(plan, result, startNanos, end));
    }

    /**
     * Makes one request; in a load without a rate the next one follows its end.
     *
     * @param plan the load
     * @param result the results
     */
    private void request(LoadPlan plan, LoadResult result) {
        result.begun++;
        underWay++;
        lastNumber++;
        String body = "request-" + lastNumber;
        String key = plan.keys() ? "key-" + lastNumber : null;
        long began = System.nanoTime();
        Promise<HttpResponse> head = client.request(build(plan, body, key));
        Promise<String> text =
                head.then(
                        response ->
                                response.loadBody()
                                        .map(bytes -> check(response, bytes, body, key, result)));
        Promises.timeout(Duration.ofMillis(plan.deadlineMillis() + MARGIN_MILLIS), text)
                .whenComplete(
                        (any, error) -> {
                            underWay--;
                            result.record(System.nanoTime() - began);
                            if (error != null) {
                                result.failed++;
                            }
                        });
    }

    /**
     * Builds a request.
     *
     * @param plan the load
     * @param body the body
     * @param key the idempotency key, or null
     * @return the request
     */
    private HttpRequest build(LoadPlan plan, String body, @Nullable String key) {
        HttpRequest.Builder builder =
                HttpRequest.post(plan.url().apply(lastNumber))
                        .withHeader(CallHeaders.TENANT, TENANT)
                        .withHeader(
                                CallHeaders.DEADLINE_MILLIS, Long.toString(plan.deadlineMillis()));
        if (key != null) {
            builder.withHeader(CallHeaders.KEY, key);
        }
        return builder.withBody(body.getBytes(StandardCharsets.UTF_8)).build();
    }

    /**
     * Checks an answer.
     *
     * @param response the head
     * @param bytes the body
     * @param sent the body of the request, which endpoints echo
     * @param key the idempotency key, or null
     * @param result the results
     * @return the body
     */
    private static String check(
            HttpResponse response,
            ByteBuf bytes,
            String sent,
            @Nullable String key,
            LoadResult result) {
        String text = bytes.getString(StandardCharsets.UTF_8);
        if (response.getCode() == SUCCESS) {
            result.answered++;
            result.answeredDuringLoad += result.over ? 0 : 1;
            result.crossed += text.equals(sent) ? 0 : 1;
        } else if (response.getCode() >= ERROR) {
            result.refused++;
            if (key != null && text.contains(NOT_RUN)) {
                result.notRun.add(key);
            }
        }
        return text;
    }
}
