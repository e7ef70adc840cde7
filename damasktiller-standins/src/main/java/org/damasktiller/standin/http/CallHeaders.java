package org.damasktiller.standin.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** Lists the headers of calls, shared by callers, entry VMs and endpoints. */
public final class CallHeaders {

    /** Names the tenant that calls. */
    public static final HttpHeader TENANT = HttpHeaders.of("Damasktiller-Tenant");

    /** Carries the idempotency key that the caller chose. */
    public static final HttpHeader KEY = HttpHeaders.of("Damasktiller-Key");

    /** Carries how long the answer is waited for, in milliseconds from the receipt. */
    public static final HttpHeader DEADLINE_MILLIS = HttpHeaders.of("Damasktiller-Deadline-Millis");

    /** Identifies an attempt towards an endpoint; an answer that carries it must carry the same. */
    public static final HttpHeader ATTEMPT = HttpHeaders.of("Damasktiller-Attempt");

    /** Marks the answer of an endpoint that is leaving and did not run the request. */
    public static final HttpHeader DRAINING = HttpHeaders.of("Damasktiller-Draining");

    /** Marks the answer of an endpoint that had no free slot and did not run the request. */
    public static final HttpHeader NOT_RUN = HttpHeaders.of("Damasktiller-Not-Run");

    /** Marks a call on a job that another entry VM passed on. */
    public static final HttpHeader FORWARDED = HttpHeaders.of("Damasktiller-Forwarded");

    /** Prevents instantiation. */
    private CallHeaders() {}
}
