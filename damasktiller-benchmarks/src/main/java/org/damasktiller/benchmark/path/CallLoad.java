package org.damasktiller.benchmark.path;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.damasktiller.platform.http.AddressResolver;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.standin.http.CallHeaders;

/**
 * Sends interactive calls over a fixed number of connections, each with one call at a time, and
 * checks every answer.
 */
final class CallLoad implements AutoCloseable {

    /** The largest answer accepted, in bytes. */
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;

    /** The significant digits of the latencies. */
    private static final int SIGNIFICANT_DIGITS = 3;

    /** The status of an answered call. */
    private static final int OK = 200;

    /** The body of every call, which the endpoints send back. */
    private static final byte[] BODY =
            "order 4711 of household 42, two bottles".getBytes(StandardCharsets.UTF_8);

    /** How long a connection is kept. */
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

    /** The event loop of the load. */
    private final Eventloop eventloop = EventLoops.start("load");

    /** The client. */
    private final HttpClient client;

    /** The number of connections. */
    private final int connections;

    /** The kind of work called. */
    private final String kind;

    /** The tenant that calls. */
    private final String tenant;

    /**
     * Creates a load.
     *
     * @param connections the number of connections
     * @param kind the kind of work called
     * @param tenant the tenant that calls
     */
    CallLoad(int connections, String kind, String tenant) {
        this.connections = connections;
        this.kind = kind;
        this.tenant = tenant;
        this.client =
                HttpClient.builder(eventloop, new AddressResolver())
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .build();
    }

    /**
     * Sends calls for a time.
     *
     * @param address the IP address and port to call
     * @param durationMillis how long, in milliseconds
     * @return what was measured
     */
    Sample run(String address, long durationMillis) {
        Sample sample = new Sample(new Histogram(SIGNIFICANT_DIGITS));
        long startNanos = System.nanoTime();
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        String url = "http://" + address + "/v1/call/" + kind;
        eventloop.submit(() -> runAll(url, endNanos, sample)).join();
        sample.elapsedNanos = System.nanoTime() - startNanos;
        return sample;
    }

    @Override
    public void close() {
        eventloop.submit(client::stop).join();
        eventloop.execute(eventloop::breakEventloop);
    }

    /**
     * Sends calls over every connection.
     *
     * @param url the address called
     * @param endNanos when to stop, in nanoseconds
     * @param sample where the figures go
     * @return completed when all calls have ended
     */
    private Promise<Void> runAll(String url, long endNanos, Sample sample) {
        SettablePromise<Void> done = new SettablePromise<>();
        int[] running = {connections};
        for (int index = 0; index < connections; index++) {
            repeat(
                    url,
                    endNanos,
                    sample,
                    () -> {
                        running[0]--;
                        if (running[0] == 0) {
                            done.set(null);
                        }
                    });
        }
        return done;
    }

    /**
     * Sends calls one after the other.
     *
     * @param url the address called
     * @param endNanos when to stop, in nanoseconds
     * @param sample where the figures go
     * @param finished run after the last call
     */
    private void repeat(String url, long endNanos, Sample sample, Runnable finished) {
        long startNanos = System.nanoTime();
        if (startNanos >= endNanos) {
            finished.run();
            return;
        }
        HttpRequest request =
                HttpRequest.post(url)
                        .withHeader(CallHeaders.TENANT, tenant)
                        .withBody(BODY.clone())
                        .build();
        client.request(request)
                .then(CallLoad::isWholeAnswer)
                .whenComplete(
                        (whole, exception) -> {
                            sample.count(
                                    exception == null && whole, System.nanoTime() - startNanos);
                            eventloop.post(() -> repeat(url, endNanos, sample, finished));
                        });
    }

    /**
     * Checks an answer.
     *
     * @param response the answer
     * @return whether it is the whole answer to the call
     */
    private static Promise<Boolean> isWholeAnswer(HttpResponse response) {
        return response.loadBody(MAXIMUM_ANSWER_BYTES)
                .map(body -> response.getCode() == OK && Arrays.equals(body.getArray(), BODY));
    }

    /** What a load measured. */
    static final class Sample {

        /** The number of nanoseconds in a second. */
        private static final double NANOS_PER_SECOND = 1e9;

        /** The number of nanoseconds in a millisecond. */
        private static final double NANOS_PER_MILLI = 1e6;

        /** The latencies of whole answers, in nanoseconds. */
        private final Histogram latencies;

        /** The number of calls without a whole answer. */
        private long failures;

        /** How long the load took, in nanoseconds. */
        private long elapsedNanos;

        /**
         * Creates an empty sample.
         *
         * @param latencies where the latencies go
         */
        Sample(Histogram latencies) {
            this.latencies = latencies;
        }

        /**
         * Adds another sample.
         *
         * @param other the sample
         */
        void add(Sample other) {
            latencies.add(other.latencies);
            failures += other.failures;
            elapsedNanos += other.elapsedNanos;
        }

        /**
         * Returns a percentile of the latencies.
         *
         * @param percent the percentile, in percent
         * @return the latency, in milliseconds
         */
        double millisAt(double percent) {
            return latencies.getValueAtPercentile(percent) / NANOS_PER_MILLI;
        }

        /**
         * Returns the rate of whole answers.
         *
         * @return the answers a second
         */
        double ratePerSecond() {
            return latencies.getTotalCount() * NANOS_PER_SECOND / elapsedNanos;
        }

        /**
         * Returns the number of calls without a whole answer.
         *
         * @return the number
         */
        long failures() {
            return failures;
        }

        /**
         * Counts a call.
         *
         * @param whole whether the whole answer came
         * @param nanos how long it took, in nanoseconds
         */
        private void count(boolean whole, long nanos) {
            if (whole) {
                latencies.recordValue(nanos);
            } else {
                failures++;
            }
        }
    }
}
