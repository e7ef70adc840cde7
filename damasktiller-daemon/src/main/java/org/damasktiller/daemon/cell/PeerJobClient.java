package org.damasktiller.daemon.cell;

import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.daemon.job.JobBody;
import org.damasktiller.daemon.job.JobServlets;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;
import org.damasktiller.identity.JobId;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.http.CallHeaders;
import org.damasktiller.standin.http.JsonClient;
import org.damasktiller.vm.VmRecord;

/** Passes calls on jobs to another entry VM, marked so that it does not pass them on again. */
public final class PeerJobClient implements JobPeers {

    /** The client. */
    private final JsonClient client;

    /** How long to wait for an answer, in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates a client.
     *
     * @param client the client for the calls
     * @param timeoutMillis how long to wait for an answer, in milliseconds
     */
    public PeerJobClient(JsonClient client, long timeoutMillis) {
        this.client = client;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public Promise<JobReply> submit(VmRecord peer, JobSubmission submission) {
        HttpRequest.Builder request =
                HttpRequest.post(url(peer, submission.task().kind().value()))
                        .withHeader(CallHeaders.KEY, submission.key().value())
                        .withBody(submission.task().payload().getBytes(StandardCharsets.UTF_8));
        return send(peer, request);
    }

    @Override
    public Promise<JobReply> query(VmRecord peer, JobId job) {
        return send(peer, HttpRequest.get(url(peer, job.value())));
    }

    @Override
    public Promise<JobReply> cancel(VmRecord peer, JobId job) {
        return send(peer, HttpRequest.builder(HttpMethod.DELETE, url(peer, job.value())));
    }

    /**
     * Sends one call.
     *
     * @param peer the entry VM
     * @param request the call
     * @return the reply
     */
    private Promise<JobReply> send(VmRecord peer, HttpRequest.Builder request) {
        CallContext context =
                new CallContext(Step.PEER, peer.name(), ErrorCode.DEADLINE_EXCEEDED, timeoutMillis);
        HttpRequest marked =
                request.withHeader(CallHeaders.FORWARDED, JobServlets.FORWARDED_VALUE).build();
        return client.send(marked, JobBody.class, context)
                .map(body -> new JobAnswer(body.toStatus()));
    }

    /**
     * Makes the address of a call.
     *
     * @param peer the entry VM
     * @param name the kind of work or the job
     * @return the address
     */
    private static String url(VmRecord peer, String name) {
        return "http://"
                + peer.address()
                + JobServlets.PATH
                + "/"
                + URLEncoder.encode(name, StandardCharsets.UTF_8);
    }
}
