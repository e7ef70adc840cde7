package org.damasktiller.standin.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.damasktiller.authority.cell.BestFitPlacement;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.CellEvent;
import org.damasktiller.authority.cell.CellOwner;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.JobChanged;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.Reply;
import org.damasktiller.authority.cell.StartPolicy;
import org.damasktiller.authority.cell.StoreFailed;
import org.damasktiller.authority.cell.StoreRequest;
import org.damasktiller.authority.cell.Tick;
import org.damasktiller.authority.cell.WorkerFailed;
import org.damasktiller.authority.cell.WorkerRequest;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.time.VirtualTime;
import org.damasktiller.standin.worker.WorkerObserver;

/**
 * Drives owners of one cell against a stand-in store and stand-in workers in virtual time. It shows
 * how a daemon drives a {@link CellOwner}: each action is carried out, and each answer is passed
 * back as an event with the time.
 */
public final class CellHarness {

    /** The cell. */
    public static final CellId CELL = new CellId("c");

    /** The time at the start, in milliseconds. */
    private static final long START_MILLIS = 1_000_000;

    /** The delay by which an answer falls behind later ones, in milliseconds. */
    private static final long REORDER_MILLIS = 300;

    /** The settings of the owners. */
    private final CellSettings settings;

    /** The times. */
    private final HarnessTimes times;

    /** The faults. */
    private final FaultInjector faults;

    /** The clock. */
    private final VirtualTime clock = new VirtualTime(START_MILLIS);

    /** The stand-ins. */
    private final StandInPeers peers;

    /** The processes, dead ones included. */
    private final List<OwnerProcess> processes = new ArrayList<>();

    /** Who waits for replies. */
    private final Map<Long, Consumer<JobReply>> replies = new HashMap<>();

    /** The committed changes that the processes reported. */
    private final List<ReportedChange> changes = new ArrayList<>();

    /** The latest number given to a reply. */
    private long lastReplyId;

    /** The rules by which owners added from now on start jobs. */
    private StartPolicy startPolicy = StartPolicy.EVEN;

    /**
     * Creates a harness without workers and owners.
     *
     * @param settings the settings of the owners
     * @param times the times
     * @param faults the faults
     */
    public CellHarness(CellSettings settings, HarnessTimes times, FaultInjector faults) {
        this.settings = settings;
        this.times = times;
        this.faults = faults;
        this.peers = new StandInPeers(times);
    }

    /**
     * Returns the clock.
     *
     * @return the clock
     */
    public VirtualTime clock() {
        return clock;
    }

    /**
     * Returns the store.
     *
     * @return the store
     */
    public StoreState store() {
        return peers.store();
    }

    /**
     * Returns the record of runs, with all workers brought to the current time.
     *
     * @return the record
     */
    public WorkerObserver observer() {
        return peers.observer(clock.nowMillis());
    }

    /**
     * Adds a worker.
     *
     * @param name its name
     * @param capacity what it has
     */
    public void addWorker(String name, Resources capacity) {
        peers.addWorker(name, capacity);
    }

    /**
     * Starts a process that can own the cell, and replaces it after its death.
     *
     * @param vm the name of its entry VM
     * @return the process
     */
    public OwnerProcess addOwner(String vm) {
        int number = processes.size();
        OwnerIdentity identity = new OwnerIdentity(new VmId(vm), "p" + number);
        OwnerProcess process =
                new OwnerProcess(
                        number,
                        new CellOwner(
                                settings, CELL, identity, new BestFitPlacement(), startPolicy));
        processes.add(process);
        deliver(process, peers.listed(clock.nowMillis()));
        tick(process, vm);
        return process;
    }

    /**
     * Sets the rules by which owners added from now on start jobs.
     *
     * @param value the rules
     */
    public void setStartPolicy(StartPolicy value) {
        startPolicy = value;
    }

    /**
     * Returns the process that owns the cell and has recovered it.
     *
     * @return the process, or empty if there is none
     */
    public Optional<OwnerProcess> active() {
        return processes.stream()
                .filter(process -> process.alive() && process.owner().active())
                .filter(process -> process.pausedUntilMillis() <= clock.nowMillis())
                .reduce((first, second) -> second);
    }

    /**
     * Returns the processes, dead ones included.
     *
     * @return the processes
     */
    public List<OwnerProcess> processes() {
        return List.copyOf(processes);
    }

    /**
     * Passes an event of a caller to a process.
     *
     * @param process the process
     * @param event makes the event from the number of its reply
     * @param onReply takes the reply
     */
    public void ask(
            OwnerProcess process, LongFunction<CellEvent> event, Consumer<JobReply> onReply) {
        lastReplyId++;
        replies.put(lastReplyId, onReply);
        deliver(process, event.apply(lastReplyId));
    }

    /**
     * Ends a process; another takes its place.
     *
     * @param process the process
     */
    public void crash(OwnerProcess process) {
        process.kill();
    }

    /**
     * Returns the committed changes that the processes reported.
     *
     * @return the changes, in the order of the reports
     */
    public List<ReportedChange> changes() {
        return List.copyOf(changes);
    }

    /**
     * Returns the stand-ins, to change their conditions.
     *
     * @return the stand-ins
     */
    public StandInPeers peers() {
        return peers;
    }

    /**
     * Passes an event to a process and carries out its actions.
     *
     * @param process the process
     * @param event the event
     */
    public void deliver(OwnerProcess process, CellEvent event) {
        if (!process.alive()) {
            return;
        }
        if (clock.nowMillis() < process.pausedUntilMillis()) {
            process.mailbox().add(event);
            return;
        }
        for (CellAction action : process.owner().handle(event, clock.nowMillis())) {
            carryOut(process, action);
        }
    }

    /**
     * Gives a process ticks for its life, and the list of workers.
     *
     * @param process the process
     * @param vm the name of its entry VM
     */
    private void tick(OwnerProcess process, String vm) {
        if (!process.alive()) {
            clock.after(times.replaceMillis(), () -> addOwner(vm));
            return;
        }
        if (running(process)) {
            while (running(process) && !process.mailbox().isEmpty()) {
                deliver(process, process.mailbox().remove());
            }
            if (clock.nowMillis() % times.listMillis() == 0) {
                deliver(process, peers.listed(clock.nowMillis()));
            }
            deliver(process, new Tick());
        }
        clock.after(times.tickMillis(), () -> tick(process, vm));
    }

    /**
     * Tells whether a process lives and is not paused.
     *
     * @param process the process
     * @return whether it runs
     */
    private boolean running(OwnerProcess process) {
        return process.alive() && clock.nowMillis() >= process.pausedUntilMillis();
    }

    /**
     * Carries out one action.
     *
     * @param process the process
     * @param action the action
     */
    private void carryOut(OwnerProcess process, CellAction action) {
        if (!process.alive()) {
            return;
        }
        if (clock.nowMillis() < process.pausedUntilMillis()) {
            clock.after(
                    process.pausedUntilMillis() - clock.nowMillis(),
                    () -> carryOut(process, action));
            return;
        }
        if (action instanceof Reply reply) {
            Consumer<JobReply> waiting = replies.remove(reply.replyId());
            if (waiting == null) {
                throw new IllegalStateException("answered twice: " + reply);
            }
            waiting.accept(reply.reply());
        } else if (action instanceof JobChanged changed) {
            changes.add(new ReportedChange(clock.nowMillis(), changed.status()));
        } else if (action instanceof StoreRequest || action instanceof WorkerRequest) {
            send(process, action, faults.faultAt(process.number(), action));
        }
    }

    /**
     * Sends a call with a fault.
     *
     * @param process the process
     * @param call the call
     * @param fault the fault
     */
    private void send(OwnerProcess process, CellAction call, CallFault fault) {
        startCondition(process, call, fault);
        long toPeer = peers.delay(call, clock.nowMillis());
        long back = peers.delay(call, clock.nowMillis());
        switch (fault) {
            case CRASH_BEFORE -> crash(process);
            case CRASH_AFTER -> {
                clock.after(toPeer, () -> peers.answer(process.number(), call, clock.nowMillis()));
                crash(process);
            }
            case PAUSE_BEFORE -> {
                process.pause(clock.nowMillis() + times.pauseMillis());
                exchange(process, call, times.pauseMillis() + toPeer, back);
            }
            case PAUSE_AFTER -> {
                process.pause(clock.nowMillis() + times.pauseMillis());
                exchange(process, call, toPeer, back);
            }
            case LOST_CALL -> clock.after(toPeer + back, () -> deliver(process, failure(call)));
            case LOST_ANSWER ->
                    clock.after(
                            toPeer,
                            () -> {
                                peers.answer(process.number(), call, clock.nowMillis());
                                deliver(process, failure(call));
                            });
            case LATE_CALL -> exchange(process, call, times.lateMillis(), back);
            case LATE_ANSWER -> exchange(process, call, toPeer, times.lateMillis());
            case REORDERED_ANSWER -> exchange(process, call, toPeer, REORDER_MILLIS);
            case DUPLICATED_CALL -> {
                exchange(process, call, toPeer, back);
                exchange(process, call, times.lateMillis(), back);
            }
            case DUPLICATED_ANSWER -> {
                exchange(process, call, toPeer, back);
                clock.after(
                        toPeer,
                        () ->
                                peers.answer(process.number(), call, clock.nowMillis())
                                        .ifPresent(event -> later(process, event, REORDER_MILLIS)));
            }
            default -> exchange(process, call, toPeer, back);
        }
    }

    /**
     * Starts a fault that lasts.
     *
     * @param process the process
     * @param call the call
     * @param fault the fault
     */
    private void startCondition(OwnerProcess process, CellAction call, CallFault fault) {
        WorkerId target =
                call instanceof WorkerRequest request ? request.worker() : peers.workers().get(0);
        long end = clock.nowMillis() + times.outageMillis();
        switch (fault) {
            case STORE_DOWN -> peers.storeDown(end);
            case STORE_SLOW -> peers.storeSlow(end);
            case STORE_PARTITION -> cutOff(process.number(), List.of("store"));
            case WORKER_PARTITION -> {
                List<WorkerId> cut =
                        call instanceof WorkerRequest ? List.of(target) : peers.workers();
                cutOff(process.number(), cut.stream().map(WorkerId::value).toList());
            }
            case WORKER_RESTART -> peers.restartWorker(target, clock.nowMillis());
            case WORKER_GONE -> peers.removeWorker(target, clock.nowMillis());
            default -> {
                return;
            }
        }
    }

    /**
     * Cuts a process off from peers for a while.
     *
     * @param process the number of the process
     * @param names the names of the peers
     */
    private void cutOff(int process, List<String> names) {
        names.forEach(name -> peers.cutOff(process, name, true));
        clock.after(
                times.outageMillis(),
                () -> names.forEach(name -> peers.cutOff(process, name, false)));
    }

    /**
     * Has a call carried out and its answer delivered.
     *
     * @param process the process
     * @param call the call
     * @param toPeerMillis how long the call takes, in milliseconds
     * @param backMillis how long the answer takes, in milliseconds
     */
    private void exchange(
            OwnerProcess process, CellAction call, long toPeerMillis, long backMillis) {
        clock.after(
                toPeerMillis,
                () ->
                        peers.answer(process.number(), call, clock.nowMillis())
                                .ifPresent(event -> later(process, event, backMillis)));
    }

    /**
     * Delivers an event later.
     *
     * @param process the process
     * @param event the event
     * @param millis how much later, in milliseconds
     */
    private void later(OwnerProcess process, CellEvent event, long millis) {
        clock.after(millis, () -> deliver(process, event));
    }

    /**
     * Makes the event that tells the failure of a call.
     *
     * @param call the call
     * @return the event
     */
    private static CellEvent failure(CellAction call) {
        return call instanceof StoreRequest request
                ? new StoreFailed(request.callId())
                : new WorkerFailed(((WorkerRequest) call).callId());
    }
}
