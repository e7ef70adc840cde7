package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.AdviceReply;

/**
 * Requests tickets from the advice service for the steps of routes that require them, and stores
 * the tickets in the steps. Load pattern: the service handles one call per VM at a time and takes
 * several milliseconds per worker in the call. Each call therefore lists only a limited number of
 * workers on which a task of the step could start, and leaves out workers that have a valid ticket
 * or that the service has already ruled out for the step.
 */
final class AdviceTicketProvider {

    /**
     * The most workers in one call; a longer call would use up too much of a submission's latency
     * objective.
     */
    private static final int MAX_WORKERS_PER_REQUEST = 30;

    /** The delay before the next request after one that got no answer, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    /**
     * How long before its expiry a ticket is no longer used, in milliseconds: the time that a start
     * request takes to reach the worker.
     */
    private static final long EXPIRY_MARGIN_MILLIS = 250;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Sends the requests to the advice service. */
    private final AdviceClient client;

    /** Called when the service has answered a request. */
    private final Runnable onAnswered;

    /** Whether a request is in flight. */
    private boolean requestInFlight;

    /** The earliest time of the next request, in milliseconds. */
    private long nextRequestAtMillis;

    /**
     * Creates a provider that has requested nothing yet.
     *
     * @param context the shared state of the cell's owner
     * @param client sends the requests to the advice service
     * @param onAnswered called when the service has answered a request
     */
    AdviceTicketProvider(CellContext context, AdviceClient client, Runnable onAnswered) {
        this.context = context;
        this.client = client;
        this.onAnswered = onAnswered;
    }

    /**
     * Returns whether the tasks of a step may only start with a ticket.
     *
     * @param step the step
     * @return whether its route requires advice
     */
    boolean isRequired(StepRecord step) {
        return step.occurrence.job.terms().adviceNeeded();
    }

    /**
     * Returns the ticket with which tasks of a step can start on a worker now.
     *
     * @param step the step
     * @param worker the worker
     * @return the ticket, empty if there is none or it can no longer be used
     */
    String usableTicket(StepRecord step, WorkerRecord worker) {
        AdviceTicket ticket = step.ticketsByWorkerId.get(worker.id);
        return ticket != null && ticket.isUsable(worker, context.now()) ? ticket.value() : "";
    }

    /**
     * Requests tickets for a step whose tasks wait. Does nothing while another request is in
     * flight, shortly after a request without an answer, or if no worker qualifies.
     *
     * @param step the step
     * @param mayUse tells whether a task of the step may start on a worker that has room, once it
     *     has a ticket
     */
    void request(StepRecord step, Predicate<WorkerRecord> mayUse) {
        long now = context.now();
        if (requestInFlight || now < nextRequestAtMillis) {
            return;
        }
        List<WorkerRecord> candidates = new ArrayList<>();
        for (WorkerRecord worker : context.allWorkers()) {
            boolean hasCapacity = worker.freeResources().covers(step.spec.reserved());
            boolean ticketMissing =
                    !step.rejectedWorkerIds.contains(worker.id)
                            && usableTicket(step, worker).isEmpty();
            if (hasCapacity && ticketMissing && mayUse.test(worker)) {
                candidates.add(worker);
            }
        }
        if (candidates.isEmpty()) {
            return;
        }
        candidates.sort(
                Comparator.comparingLong(worker -> -worker.freeResources().cpuMillicores()));
        List<WorkerRecord> requested =
                candidates.subList(0, Math.min(MAX_WORKERS_PER_REQUEST, candidates.size()));
        requestInFlight = true;
        String name = step.name();
        client.requestTickets(
                name,
                requested.stream().map(worker -> worker.id).toList(),
                reply -> onReply(step, name, List.copyOf(requested), reply));
    }

    /**
     * Stores the tickets of an answer in their step. A worker of the request that got no ticket is
     * ruled out for the step.
     *
     * @param step the step
     * @param name the name of the step in the request, for the log
     * @param requested the workers in the request
     * @param reply the answer, or the reason why there is none
     */
    private void onReply(
            StepRecord step, String name, List<WorkerRecord> requested, AdviceReply reply) {
        requestInFlight = false;
        if (context.ended) {
            return;
        }
        long now = context.now();
        context.log.log(
                "advice.answered",
                "step",
                name,
                "asked",
                requested.size(),
                "allowed",
                reply.tickets().size(),
                "answered",
                reply.answered(),
                "reason",
                reply.reason());
        if (!reply.answered()) {
            nextRequestAtMillis = now + RETRY_MILLIS;
            return;
        }
        long validUntilMillis = now + reply.validMillis() - EXPIRY_MARGIN_MILLIS;
        for (WorkerRecord worker : requested) {
            String ticket = reply.tickets().get(worker.id);
            if (ticket == null) {
                step.rejectedWorkerIds.add(worker.id);
            } else {
                step.ticketsByWorkerId.put(
                        worker.id,
                        new AdviceTicket(ticket, worker.bootUnixMillis, validUntilMillis));
            }
        }
        onAnswered.run();
    }
}
