package org.damasktiller.daemon.entry;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts the requests in flight of a listener. Once draining, each response closes its connection,
 * so that callers move to other VMs while no request is cut off. Used on its reactor's thread only.
 */
public final class DrainableServlet implements AsyncServlet {

    /** The value of the header that closes a connection after the response. */
    private static final String CLOSE = "close";

    /** The servlet that serves. */
    private final AsyncServlet servlet;

    /** The promises to those who wait until no request is in flight. */
    private final List<SettablePromise<Void>> waiters = new ArrayList<>();

    /** The number of requests in flight. */
    private int inFlight;

    /** Whether connections are to be closed after their response. */
    private boolean draining;

    /**
     * Creates a servlet.
     *
     * @param servlet the servlet that serves
     */
    public DrainableServlet(AsyncServlet servlet) {
        this.servlet = servlet;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) throws Exception {
        inFlight++;
        Promise<HttpResponse> response;
        try {
            response = servlet.serve(request);
        } catch (Exception exception) {
            finish();
            throw exception;
        }
        return response.map(this::closeIfDraining).whenComplete(this::finish);
    }

    /** Starts to close connections after their response. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Waits until no request is in flight.
     *
     * @return a promise completed when there is none
     */
    public Promise<Void> whenIdle() {
        if (inFlight == 0) {
            return Promise.complete();
        }
        SettablePromise<Void> waiter = new SettablePromise<>();
        waiters.add(waiter);
        return waiter;
    }

    /**
     * Makes a response close its connection once draining.
     *
     * @param response the response
     * @return the response to send
     */
    private HttpResponse closeIfDraining(HttpResponse response) {
        if (!draining || response.getHeader(HttpHeaders.CONNECTION) != null) {
            return response;
        }
        HttpResponse.Builder builder =
                HttpResponse.ofCode(response.getCode()).withHeader(HttpHeaders.CONNECTION, CLOSE);
        response.getHeaders()
                .forEach(entry -> builder.withHeader(entry.getKey(), entry.getValue()));
        return builder.withBodyStream(response.takeBodyStream()).build();
    }

    /** Counts a request as finished. */
    private void finish() {
        inFlight--;
        if (inFlight > 0) {
            return;
        }
        List<SettablePromise<Void>> idle = List.copyOf(waiters);
        waiters.clear();
        idle.forEach(waiter -> waiter.set(null));
    }
}
