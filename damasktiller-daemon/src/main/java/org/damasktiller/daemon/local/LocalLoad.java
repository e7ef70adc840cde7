package org.damasktiller.daemon.local;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.damasktiller.daemon.job.JobBody;
import org.damasktiller.daemon.job.JobServlets;
import org.damasktiller.error.Step;
import org.damasktiller.platform.http.AddressResolver;
import org.damasktiller.standin.http.CallHeaders;
import org.damasktiller.standin.http.Json;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;

/**
 * Sends a short mixed load to the entry VMs and follows what becomes of it. Used on its event
 * loop's thread, but for the constructor.
 */
final class LocalLoad {

    /** The time between two rounds of interactive calls, in milliseconds. */
    private static final long CALL_INTERVAL_MILLIS = 20;

    /** The time between two looks at a job, in milliseconds. */
    private static final long JOB_POLL_MILLIS = 100;

    /** How often a caller repeats a request that was not run. */
    private static final int MAXIMUM_TRIES = 40;

    /** The delay before a repetition, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** How long a job of the load runs, in milliseconds. */
    private static final int JOB_RUN_MILLIS = 300;

    /** How many jobs of each kind are submitted. */
    private static final int JOBS_PER_KIND = 20;

    /** How long to wait for a connection. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** The status from which on an answer is an error. */
    private static final int FIRST_ERROR_STATUS = 300;

    /** The largest answer accepted, in bytes. */
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;

    /** The event loop. */
    private final Eventloop eventloop;

    /** The client. */
    private final HttpClient client;

    /** Gives the addresses of the entry VMs that take new work. */
    private final Supplier<List<String>> addresses;

    /** What each kind of work got. */
    private final Map<String, WorkTally> tallies = new LinkedHashMap<>();

    /** The accepted jobs by kind. */
    private final Map<String, List<String>> jobs = new LinkedHashMap<>();

    /** The keys of the at-most-once calls that were answered, by kind. */
    private final Map<String, List<String>> answeredKeys = new LinkedHashMap<>();

    /** The number of the latest request. */
    private int lastNumber;

    /** The number of requests and jobs that are not finished. */
    private int open;

    /**
     * Creates a load.
     *
     * @param eventloop the event loop
     * @param addresses gives the addresses of the entry VMs that take new work
     * @param kinds the kinds of work
     */
    LocalLoad(Eventloop eventloop, Supplier<List<String>> addresses, List<KindOfWork> kinds) {
        this.eventloop = eventloop;
        this.addresses = addresses;
        this.client =
                HttpClient.builder(eventloop, new AddressResolver())
                        .withConnectTimeout(CONNECT_TIMEOUT)
                        .withKeepAliveTimeout(CONNECT_TIMEOUT)
                        .build();
        for (KindOfWork kind : kinds) {
            tallies.put(kind.name().value(), new WorkTally());
            jobs.put(kind.name().value(), new ArrayList<>());
            answeredKeys.put(kind.name().value(), new ArrayList<>());
        }
    }

    /**
     * Submits the jobs of a kind of work.
     *
     * @param kind the kind
     */
    void submitJobs(KindOfWork kind) {
        int count = kind.repeat() == Repeat.AT_MOST_ONCE ? 1 : JOBS_PER_KIND;
        for (int index = 0; index < count; index++) {
            open++;
            String key = kind.name() + "-job-" + index;
            submitJob(kind, key, eventloop.currentTimeMillis(), 0);
        }
    }

    /**
     * Sends interactive calls of a kind until a moment.
     *
     * @param kind the kind
     * @param endMillis the moment, in milliseconds
     */
    void sendCalls(KindOfWork kind, long endMillis) {
        if (eventloop.currentTimeMillis() >= endMillis) {
            return;
        }
        sendCall(kind);
        eventloop.delay(CALL_INTERVAL_MILLIS, () -> sendCalls(kind, endMillis));
    }

    /**
     * Sends one interactive call.
     *
     * @param kind the kind of work
     */
    void sendCall(KindOfWork kind) {
        open++;
        lastNumber++;
        String key = kind.name() + "-call-" + lastNumber;
        tally(kind).countStarted();
        call(kind, key, eventloop.currentTimeMillis(), 0);
    }

    /**
     * Returns the number of requests and jobs that are not finished.
     *
     * @return the number
     */
    int open() {
        return open;
    }

    /**
     * Returns what each kind of work got.
     *
     * @return the tallies by kind
     */
    Map<String, WorkTally> tallies() {
        return tallies;
    }

    /**
     * Returns the accepted jobs.
     *
     * @return the jobs by kind
     */
    Map<String, List<String>> jobs() {
        return jobs;
    }

    /**
     * Returns the keys of the at-most-once calls that were answered.
     *
     * @return the keys by kind
     */
    Map<String, List<String>> answeredKeys() {
        return answeredKeys;
    }

    /**
     * Stops the client.
     *
     * @return completed when it has stopped
     */
    Promise<?> stop() {
        return client.stop();
    }

    /**
     * Makes one interactive call and repeats it while it certainly was not run.
     *
     * @param kind the kind of work
     * @param key the key of the call
     * @param startMillis when the caller began, in milliseconds
     * @param tries how often it was tried before
     */
    private void call(KindOfWork kind, String key, long startMillis, int tries) {
        byte[] body = ("body of " + key).getBytes(StandardCharsets.UTF_8);
        HttpRequest request =
                HttpRequest.post(url("/v1/call/" + kind.name(), tries))
                        .withHeader(CallHeaders.TENANT, kind.tenant().value())
                        .withHeader(CallHeaders.KEY, key)
                        .withBody(body)
                        .build();
        send(request)
                .whenResult(answer -> finishCall(kind, key, startMillis, answer, body))
                .whenException(exception -> retryCall(kind, key, startMillis, tries));
    }

    /**
     * Takes the answer of a call.
     *
     * @param kind the kind of work
     * @param key the key of the call
     * @param startMillis when the caller began, in milliseconds
     * @param answer the answer
     * @param body the body sent, which the endpoints send back
     */
    private void finishCall(
            KindOfWork kind, String key, long startMillis, byte[] answer, byte[] body) {
        open--;
        if (!Arrays.equals(answer, body)) {
            tally(kind).countUnaccounted();
            return;
        }
        tally(kind).countFinished(eventloop.currentTimeMillis() - startMillis);
        if (kind.repeat() == Repeat.AT_MOST_ONCE) {
            keys(answeredKeys, kind).add(key);
        }
    }

    /**
     * Repeats a refused call after a delay, or gives it up.
     *
     * @param kind the kind of work
     * @param key the key of the call
     * @param startMillis when the caller began, in milliseconds
     * @param tries how often it was tried
     */
    private void retryCall(KindOfWork kind, String key, long startMillis, int tries) {
        tally(kind).countRefused();
        if (tries >= MAXIMUM_TRIES) {
            open--;
            tally(kind).countUnaccounted();
            return;
        }
        eventloop.delay(RETRY_MILLIS, () -> call(kind, key, startMillis, tries + 1));
    }

    /**
     * Submits one job and repeats the submission with the same key until it is accepted.
     *
     * @param kind the kind of work
     * @param key the key of the job
     * @param startMillis when the caller began, in milliseconds
     * @param tries how often it was tried before
     */
    private void submitJob(KindOfWork kind, String key, long startMillis, int tries) {
        HttpRequest request =
                HttpRequest.post(url(JobServlets.PATH + "/" + kind.name(), tries))
                        .withHeader(CallHeaders.KEY, key)
                        .withBody(("actual:" + JOB_RUN_MILLIS).getBytes(StandardCharsets.UTF_8))
                        .build();
        send(request)
                .whenResult(
                        answer -> {
                            String job = read(answer).job();
                            tally(kind).countStarted();
                            keys(jobs, kind).add(job);
                            follow(kind, job, startMillis, 0);
                        })
                .whenException(
                        exception -> {
                            tally(kind).countRefused();
                            if (tries >= MAXIMUM_TRIES) {
                                open--;
                                tally(kind).countUnaccounted();
                                return;
                            }
                            eventloop.delay(
                                    RETRY_MILLIS,
                                    () -> submitJob(kind, key, startMillis, tries + 1));
                        });
    }

    /**
     * Looks at a job until it has ended.
     *
     * @param kind the kind of work
     * @param job the job
     * @param startMillis when the caller began, in milliseconds
     * @param looks how often it was looked at before
     */
    private void follow(KindOfWork kind, String job, long startMillis, int looks) {
        send(HttpRequest.get(url(JobServlets.PATH + "/" + job, looks)).build())
                .map(answer -> read(answer).ended(), exception -> false)
                .whenResult(
                        ended -> {
                            if (ended) {
                                open--;
                                tally(kind)
                                        .countFinished(eventloop.currentTimeMillis() - startMillis);
                                return;
                            }
                            eventloop.delay(
                                    JOB_POLL_MILLIS,
                                    () -> follow(kind, job, startMillis, looks + 1));
                        });
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the body of the answer; fails if it is an error
     */
    private Promise<byte[]> send(HttpRequest request) {
        return client.request(request).then(LocalLoad::readAnswer);
    }

    /**
     * Reads the body of an answer.
     *
     * @param response the answer
     * @return the body; fails if the answer is an error
     */
    private static Promise<byte[]> readAnswer(HttpResponse response) {
        return response.loadBody(MAXIMUM_ANSWER_BYTES)
                .map(ByteBuf::getArray)
                .then(
                        body ->
                                response.getCode() < FIRST_ERROR_STATUS
                                        ? Promise.of(body)
                                        : Promise.ofException(
                                                new IllegalStateException(
                                                        new String(body, StandardCharsets.UTF_8))));
    }

    /**
     * Reads the state of a job.
     *
     * @param answer the answer
     * @return the state
     */
    private static JobBody read(byte[] answer) {
        return Json.read(answer, JobBody.class, Step.ACCEPT, "");
    }

    /**
     * Makes the address of a call, at another entry VM each time.
     *
     * @param path the path
     * @param turn the number of the try
     * @return the address
     */
    private String url(String path, int turn) {
        List<String> present = addresses.get();
        return "http://" + present.get((lastNumber + turn) % present.size()) + path;
    }

    /**
     * Returns the tally of a kind.
     *
     * @param kind the kind
     * @return the tally
     */
    private WorkTally tally(KindOfWork kind) {
        return tallies.computeIfAbsent(kind.name().value(), name -> new WorkTally());
    }

    /**
     * Returns the list of a kind.
     *
     * @param lists the lists by kind
     * @param kind the kind
     * @return the list
     */
    private static List<String> keys(Map<String, List<String>> lists, KindOfWork kind) {
        return lists.computeIfAbsent(kind.name().value(), name -> new ArrayList<>());
    }

    /**
     * Tells whether work of a kind is sent as interactive calls.
     *
     * @param kind the kind
     * @return whether it is; else it is submitted as jobs
     */
    static boolean isInteractive(KindOfWork kind) {
        return kind.workClass() == WorkClass.INTERACTIVE;
    }
}
