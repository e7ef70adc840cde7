package org.damasktiller.standin.platform;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.standin.client.vm.HttpVmDirectory;
import org.damasktiller.standin.http.JsonServlets;
import org.damasktiller.vm.VmDirectory;
import org.damasktiller.vm.VmRecord;

/**
 * Serves the stand-in list of VMs: GET reads what changed since a revision, POST adds or replaces
 * one VM.
 */
public final class VmListServlet {

    /** The largest record accepted, in bytes. */
    private static final int MAXIMUM_RECORD_BYTES = 10_000;

    /** Prevents instantiation. */
    private VmListServlet() {}

    /**
     * Makes the servlet.
     *
     * @param reactor the reactor that serves
     * @param state the list
     * @return the servlet
     */
    public static AsyncServlet create(Reactor reactor, VmListState state) {
        return RoutingServlet.builder(reactor)
                .with(
                        HttpMethod.GET,
                        HttpVmDirectory.PATH,
                        JsonServlets.get(
                                request ->
                                        Promise.of(
                                                state.changesSince(
                                                        revision(request),
                                                        reactor.currentTimeMillis()))))
                .with(
                        HttpMethod.POST,
                        HttpVmDirectory.PATH,
                        JsonServlets.post(
                                VmRecord.class,
                                MAXIMUM_RECORD_BYTES,
                                vm -> {
                                    state.put(vm, reactor.currentTimeMillis());
                                    return Promise.of(vm);
                                }))
                .build();
    }

    /**
     * Reads the revision of the earlier reading.
     *
     * @param request the request
     * @return the revision, zero if the request names none
     * @throws DamasktillerException with code BAD_REQUEST if it is no number
     */
    private static long revision(HttpRequest request) {
        String text = request.getQueryParameter(HttpVmDirectory.AFTER_PARAMETER);
        try {
            return text == null ? VmDirectory.NO_REVISION : Long.parseLong(text);
        } catch (NumberFormatException exception) {
            throw new DamasktillerException(
                    ErrorCode.BAD_REQUEST,
                    Step.READ,
                    "",
                    Outcome.NOT_RUN,
                    "revision '" + text + "', allowed: a number",
                    exception);
        }
    }
}
