package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.port.AdviceCalls;
import org.damasktiller.scheduler.port.AdviceReply;

/**
 * Asks the advice service for the steps of queues that need it. Load pattern: the service takes one
 * call of a VM at a time and some milliseconds for each worker named, so that a call names a few
 * workers with room, and no worker again while what is known of it holds.
 */
final class AdviceDesk {

    /** How many workers a call names: what the objective of a submission allows for. */
    private static final int WORKERS_ASKED = 30;

    /** The pause after a call without an answer, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    /** How long before its end a ticket is no longer used, in milliseconds: the way of a start. */
    private static final long MARGIN_MILLIS = 250;

    /** The shared part. */
    private final CellCore core;

    /** Calls the service. */
    private final AdviceCalls calls;

    /** Told when tickets have come. */
    private final Runnable changed;

    /** Whether a call is on its way. */
    private boolean asking;

    /** Before when no call is made, in milliseconds. */
    private long notBeforeMillis;

    /**
     * Creates a desk.
     *
     * @param core the shared part
     * @param calls calls the service
     * @param changed told when tickets have come
     */
    AdviceDesk(CellCore core, AdviceCalls calls, Runnable changed) {
        this.core = core;
        this.calls = calls;
        this.changed = changed;
    }

    /**
     * Tells whether the tasks of a step need a ticket.
     *
     * @param step the step
     * @return whether they do
     */
    boolean needed(StepRecord step) {
        Route route = core.manifest.byName(step.occurrence.job.accepted.route());
        return route != null && route.adviceNeeded();
    }

    /**
     * Returns the ticket of a step for a worker.
     *
     * @param step the step
     * @param worker the worker
     * @return the ticket, empty if there is none that can be used
     */
    String ticket(StepRecord step, WorkerRecord worker) {
        AdviceTicket ticket = step.ticketsByWorkerId.get(worker.id);
        return ticket != null && ticket.usable(worker, core.now()) ? ticket.text() : "";
    }

    /**
     * Asks for a step whose tasks wait, unless a call is on its way.
     *
     * @param step the step
     */
    void ask(StepRecord step) {
        long now = core.now();
        if (asking || now < notBeforeMillis) {
            return;
        }
        List<WorkerRecord> candidates = new ArrayList<>();
        for (WorkerRecord worker : core.allWorkers()) {
            boolean fits = worker.freeResources().covers(step.spec.reserved());
            boolean open =
                    !step.rejectedWorkerIds.contains(worker.id) && ticket(step, worker).isEmpty();
            if (fits && open && worker.isUsable(now)) {
                candidates.add(worker);
            }
        }
        if (candidates.isEmpty()) {
            return;
        }
        candidates.sort(
                Comparator.comparingLong(worker -> -worker.freeResources().cpuMillicores()));
        List<WorkerRecord> named =
                candidates.subList(0, Math.min(WORKERS_ASKED, candidates.size()));
        asking = true;
        String name = step.occurrence.job.id() + '.' + step.occurrence.number + '.' + step.number;
        calls.ask(
                name,
                named.stream().map(worker -> worker.id).toList(),
                reply -> onReply(step, name, List.copyOf(named), reply));
    }

    /**
     * Takes the answer for a step.
     *
     * @param step the step
     * @param name the name of the step
     * @param named the workers that were named
     * @param reply the answer
     */
    private void onReply(
            StepRecord step, String name, List<WorkerRecord> named, AdviceReply reply) {
        asking = false;
        if (core.over) {
            return;
        }
        long now = core.now();
        core.log.log(
                "advice.answered",
                "step",
                name,
                "asked",
                named.size(),
                "allowed",
                reply.tickets().size(),
                "answered",
                reply.answered(),
                "reason",
                reply.reason());
        if (!reply.answered()) {
            notBeforeMillis = now + RETRY_MILLIS;
            return;
        }
        long until = now + reply.validMillis() - MARGIN_MILLIS;
        for (WorkerRecord worker : named) {
            String text = reply.tickets().get(worker.id);
            if (text == null) {
                step.rejectedWorkerIds.add(worker.id);
            } else {
                step.ticketsByWorkerId.put(
                        worker.id, new AdviceTicket(text, worker.bootUnixMillis, until));
            }
        }
        changed.run();
    }
}
