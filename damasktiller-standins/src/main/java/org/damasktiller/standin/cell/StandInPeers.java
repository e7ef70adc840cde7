package org.damasktiller.standin.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.authority.call.StoreAnswer;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.CellEvent;
import org.damasktiller.authority.cell.CellWorker;
import org.damasktiller.authority.cell.StoreAnswered;
import org.damasktiller.authority.cell.StoreFailed;
import org.damasktiller.authority.cell.StoreRequest;
import org.damasktiller.authority.cell.WorkerAnswered;
import org.damasktiller.authority.cell.WorkerRequest;
import org.damasktiller.authority.cell.WorkersListed;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.store.StoreCallHandler;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.worker.WorkerObserver;
import org.damasktiller.standin.worker.WorkerState;
import org.damasktiller.vm.VmState;

/** Holds the stand-ins that owners call, with the conditions that keep calls from them. */
public final class StandInPeers {

    /** The delay of a slow store each way, in milliseconds. */
    private static final long SLOW_MILLIS = 700;

    /** The times. */
    private final HarnessTimes times;

    /** The store. */
    private final StoreState store = new StoreState();

    /** The record of runs. */
    private final WorkerObserver observer = new WorkerObserver();

    /** The workers. */
    private final Map<WorkerId, WorkerState> workers = new TreeMap<>();

    /** The workers that are gone, and since when, in milliseconds. */
    private final Map<WorkerId, Long> gone = new HashMap<>();

    /** The pairs of a process and a peer that are cut off from each other. */
    private final Set<String> partitions = new HashSet<>();

    /** Until when the store is down, in milliseconds. */
    private long storeDownUntilMillis;

    /** Until when the store is slow, in milliseconds. */
    private long storeSlowUntilMillis;

    /** Whether a worker is gone already; the others stay. */
    private boolean workerLost;

    /**
     * Creates peers without workers.
     *
     * @param times the times
     */
    StandInPeers(HarnessTimes times) {
        this.times = times;
    }

    /**
     * Returns the store.
     *
     * @return the store
     */
    StoreState store() {
        return store;
    }

    /**
     * Returns the record of runs, with all workers brought to a time.
     *
     * @param nowMillis the time, in milliseconds
     * @return the record
     */
    WorkerObserver observer(long nowMillis) {
        workers.values().forEach(worker -> worker.advance(nowMillis));
        return observer;
    }

    /**
     * Adds a worker.
     *
     * @param name its name
     * @param capacity what it has
     */
    void addWorker(String name, Resources capacity) {
        WorkerId worker = new WorkerId(name);
        workers.put(worker, new WorkerState(worker, capacity, observer));
    }

    /**
     * Returns the workers.
     *
     * @return the names, in order
     */
    public List<WorkerId> workers() {
        return List.copyOf(workers.keySet());
    }

    /**
     * Cuts a process off from a peer, or ends that.
     *
     * @param process the number of the process
     * @param peer the name of the peer
     * @param cut whether it is cut off
     */
    public void cutOff(int process, String peer, boolean cut) {
        if (cut) {
            partitions.add(process + " " + peer);
        } else {
            partitions.remove(process + " " + peer);
        }
    }

    /**
     * Takes the store down.
     *
     * @param untilMillis until when, in milliseconds
     */
    public void storeDown(long untilMillis) {
        storeDownUntilMillis = Math.max(storeDownUntilMillis, untilMillis);
    }

    /**
     * Makes the store slow.
     *
     * @param untilMillis until when, in milliseconds
     */
    public void storeSlow(long untilMillis) {
        storeSlowUntilMillis = Math.max(storeSlowUntilMillis, untilMillis);
    }

    /**
     * Starts a worker anew with an empty memory.
     *
     * @param worker the worker
     * @param nowMillis the time, in milliseconds
     */
    public void restartWorker(WorkerId worker, long nowMillis) {
        worker(worker).restart(nowMillis);
    }

    /**
     * Takes a worker away for good. At most one worker is taken away in a run.
     *
     * @param worker the worker
     * @param nowMillis the time, in milliseconds
     */
    public void removeWorker(WorkerId worker, long nowMillis) {
        if (!workerLost) {
            workerLost = true;
            worker(worker).restart(nowMillis);
            gone.put(worker, nowMillis);
        }
    }

    /**
     * Reads the list of workers, on which a gone worker shows late.
     *
     * @param nowMillis the time, in milliseconds
     * @return the event
     */
    WorkersListed listed(long nowMillis) {
        List<CellWorker> listed = new ArrayList<>();
        for (WorkerId worker : workers.keySet()) {
            Long since = gone.get(worker);
            boolean shown = since != null && nowMillis - since >= 2 * times.listMillis();
            listed.add(new CellWorker(worker, shown ? VmState.GONE : VmState.LIVE));
        }
        return new WorkersListed(listed);
    }

    /**
     * Has the peer carry out a call.
     *
     * @param process the number of the process
     * @param call the call
     * @param nowMillis the time, in milliseconds
     * @return the event that tells the answer, or empty if the peer was not reached
     */
    Optional<CellEvent> answer(int process, CellAction call, long nowMillis) {
        if (call instanceof StoreRequest request) {
            boolean down = nowMillis < storeDownUntilMillis;
            if (down || partitions.contains(process + " store")) {
                return Optional.empty();
            }
            return Optional.of(storeAnswer(request, nowMillis));
        }
        WorkerRequest request = (WorkerRequest) call;
        boolean cut = partitions.contains(process + " " + request.worker());
        if (cut || gone.containsKey(request.worker())) {
            return Optional.empty();
        }
        return Optional.of(
                new WorkerAnswered(
                        request.callId(),
                        worker(request.worker()).handle(request.command(), nowMillis)));
    }

    /**
     * Has the store carry out a call.
     *
     * @param request the call
     * @param nowMillis the time, in milliseconds
     * @return the event that tells the answer
     */
    private CellEvent storeAnswer(StoreRequest request, long nowMillis) {
        try {
            StoreAnswer answer = StoreCallHandler.handle(store, request.call(), nowMillis);
            return new StoreAnswered(request.callId(), answer);
        } catch (DamasktillerException refused) {
            return new StoreFailed(request.callId());
        }
    }

    /**
     * Returns how long a call takes one way.
     *
     * @param call the call
     * @param nowMillis the time, in milliseconds
     * @return the time, in milliseconds
     */
    long delay(CellAction call, long nowMillis) {
        if (call instanceof WorkerRequest) {
            return times.workerDelayMillis();
        }
        return nowMillis < storeSlowUntilMillis ? SLOW_MILLIS : times.storeDelayMillis();
    }

    /**
     * Returns a worker.
     *
     * @param worker its name
     * @return the worker
     */
    private WorkerState worker(WorkerId worker) {
        WorkerState state = workers.get(worker);
        if (state == null) {
            throw new IllegalArgumentException("no such worker: " + worker);
        }
        return state;
    }
}
