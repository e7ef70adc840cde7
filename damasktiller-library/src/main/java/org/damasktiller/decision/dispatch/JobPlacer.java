package org.damasktiller.decision.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damasktiller.decision.fairshare.FairShareQueue;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.health.FleetLimits;
import org.damasktiller.decision.placement.PlacementChoice;
import org.damasktiller.decision.placement.PlacementIndex;
import org.damasktiller.decision.placement.PlacementRequest;
import org.damasktiller.decision.placement.PlacementScore;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/** Starts a job on a worker, makes or keeps room for it, or passes it over for the round. */
final class JobPlacer {

    /** How long workers are kept for a kind that finds no room, in milliseconds. */
    private static final long HOLD_MILLIS = 5000;

    /** The speeds at which a harmful job is started, in percent. */
    private static final int[] START_SPEEDS = {50};

    /** How long a harmful job waits before it is started at a lower speed, in milliseconds. */
    private static final long THROTTLED_START_MILLIS = 900_000;

    /** The reservations. */
    private final PlacementIndex index;

    /** The order of starts. */
    private final FairShareQueue queue;

    /** Makes room. */
    private final RoomMaker rooms;

    /** The sizes of workers. */
    private final FleetLimits limits;

    /** Records starts. */
    private final TaskStarter starter;

    /**
     * Creates a part.
     *
     * @param index the reservations
     * @param queue the order of starts
     * @param rooms makes room
     * @param limits the sizes of workers
     * @param starter records starts
     */
    JobPlacer(
            PlacementIndex index,
            FairShareQueue queue,
            RoomMaker rooms,
            FleetLimits limits,
            TaskStarter starter) {
        this.index = index;
        this.queue = queue;
        this.rooms = rooms;
        this.limits = limits;
        this.starter = starter;
    }

    /**
     * Starts a job, or passes it over for the rest of the round.
     *
     * @param job the job
     * @param request the request for a worker
     * @param score the cost of each worker
     * @param urgent whether room is made for the job
     * @param nowMillis the time, in milliseconds
     * @return what to tell workers, in order
     */
    List<DispatchAction> place(
            PendingJob job,
            PlacementRequest request,
            PlacementScore score,
            boolean urgent,
            long nowMillis) {
        List<DispatchAction> actions = new ArrayList<>();
        PlacementChoice choice = index.choose(request, score);
        Optional<WorkerId> worker = choice.worker();
        if (worker.isEmpty() && urgent) {
            worker = makeRoom(request, actions, nowMillis);
        }
        Resources size = request.size();
        if (worker.isPresent()
                && starter.start(job, worker.get(), size, RunningTask.FULL_SPEED, nowMillis)) {
            actions.add(new StartTask(job.id(), worker.get(), size));
        } else if (!choice.roomFound()) {
            keepRoom(job, request, score, nowMillis);
        } else {
            queue.refusedForHarm(job);
            actions.addAll(placeThrottled(job, request, score, nowMillis));
        }
        return actions;
    }

    /**
     * Keeps room for a kind that is behind its share.
     *
     * @param job the job
     * @param request the request that found no room
     * @param score the cost of each worker
     * @param nowMillis the time, in milliseconds
     */
    private void keepRoom(
            PendingJob job, PlacementRequest request, PlacementScore score, long nowMillis) {
        Resources twice = request.size().plus(request.size());
        boolean soon = twice.fitsWithin(limits.largest());
        int owed = queue.refusedForRoom(job, soon, nowMillis);
        if (owed > 0) {
            index.hold(request, score, owed, nowMillis + HOLD_MILLIS);
        }
    }

    /**
     * Starts a job that has waited long and would do too much harm at full speed at a lower speed,
     * so that no kind starves.
     *
     * @param job the job
     * @param request the request at full speed
     * @param score the cost of each worker
     * @param nowMillis the time, in milliseconds
     * @return the start, or nothing
     */
    private List<DispatchAction> placeThrottled(
            PendingJob job, PlacementRequest request, PlacementScore score, long nowMillis) {
        if (nowMillis - job.submittedMillis() < THROTTLED_START_MILLIS) {
            return List.of();
        }
        for (int percent : START_SPEEDS) {
            PlacementRequest slower = request.throttled(percent);
            Optional<WorkerId> worker = index.choose(slower, score).worker();
            if (worker.isPresent()
                    && starter.start(job, worker.get(), request.size(), percent, nowMillis)) {
                return List.of(new StartTask(job.id(), worker.get(), slower.size()));
            }
        }
        return List.of();
    }

    /**
     * Makes room for an urgent job by throttling batch tasks.
     *
     * @param request the request
     * @param actions where the actions go
     * @param nowMillis the time, in milliseconds
     * @return the worker, or empty if no room can be made
     */
    private Optional<WorkerId> makeRoom(
            PlacementRequest request, List<DispatchAction> actions, long nowMillis) {
        PlacementScore room =
                (kind, asked, candidate) ->
                        rooms.canFree(candidate.spec().id(), asked.size())
                                ? candidate.reservedShare()
                                : Double.POSITIVE_INFINITY;
        Optional<WorkerId> worker = index.chooseAny(request, room);
        long processors = request.size().milliProcessors();
        worker.ifPresent(id -> actions.addAll(rooms.free(id, processors, nowMillis)));
        return worker;
    }
}
