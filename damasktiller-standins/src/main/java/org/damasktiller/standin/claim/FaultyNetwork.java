package org.damasktiller.standin.claim;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.authority.call.StoreCall;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.time.VirtualTime;

/** Carries the calls of processes, each with the fault that was chosen for it. */
final class FaultyNetwork {

    /** The delay by which an answer falls behind later ones, in milliseconds. */
    private static final long REORDER_MILLIS = 300;

    /** The delay of a slow store each way, in milliseconds. */
    private static final long SLOW_MILLIS = 600;

    /** The times. */
    private final ClaimTimes times;

    /** The clock. */
    private final VirtualTime clock;

    /** The faults. */
    private final ClaimFaults faults;

    /** The number of calls so far. */
    private int calls;

    /** Until when a process is cut off from the store, in milliseconds. */
    private final Map<SimulatedProcess, Long> cutUntilMillis = new HashMap<>();

    /** Until when the store is down, in milliseconds. */
    private long storeDownUntilMillis;

    /** Until when the store is slow, in milliseconds. */
    private long storeSlowUntilMillis;

    /**
     * Creates a network.
     *
     * @param times the times
     * @param clock the clock
     * @param faults the faults
     */
    FaultyNetwork(ClaimTimes times, VirtualTime clock, ClaimFaults faults) {
        this.times = times;
        this.clock = clock;
        this.faults = faults;
    }

    /**
     * Returns the number of calls so far.
     *
     * @return the number of calls
     */
    int calls() {
        return calls;
    }

    /**
     * Tells whether the store takes calls of a process.
     *
     * @param process the process
     * @return whether it is up and can be reached
     */
    boolean storeUp(SimulatedProcess process) {
        long now = clock.nowMillis();
        return now >= storeDownUntilMillis
                && now >= cutUntilMillis.getOrDefault(process, Long.MIN_VALUE);
    }

    /**
     * Sends a call to the store.
     *
     * @param sender the process that calls
     * @param call the call
     * @param atStore what the store does
     * @param failure what the failure of the call does at the sender
     */
    void sendToStore(SimulatedProcess sender, StoreCall call, PeerCall atStore, Runnable failure) {
        send(sender, ClaimStep.of(call), atStore, failure);
    }

    /**
     * Sends a call. A send to the endpoint is never duplicated: it is made on a TCP connection.
     *
     * @param sender the process that calls
     * @param step the step
     * @param atPeer what the peer does
     * @param failure what the failure of the call does at the sender
     */
    void send(SimulatedProcess sender, ClaimStep step, PeerCall atPeer, Runnable failure) {
        calls++;
        CallFault fault = faults.faultAt(calls, step);
        long now = clock.nowMillis();
        startCondition(sender, fault, now);
        long delay = delay(step);
        switch (fault) {
            case CRASH_BEFORE -> sender.kill();
            case CRASH_AFTER -> {
                exchange(sender, atPeer, delay, delay);
                sender.kill();
            }
            case PAUSE_BEFORE -> {
                sender.pause(now + times.pauseMillis());
                exchange(sender, atPeer, times.pauseMillis() + delay, delay);
            }
            case PAUSE_AFTER -> {
                sender.pause(now + times.pauseMillis());
                exchange(sender, atPeer, delay, delay);
            }
            case LOST_CALL -> fail(sender, delay, failure);
            case LOST_ANSWER -> {
                clock.after(delay, () -> atPeer.arrive(answer -> {}));
                fail(sender, 2 * delay, failure);
            }
            case LATE_CALL -> exchange(sender, atPeer, times.lateMillis(), delay);
            case LATE_ANSWER -> exchange(sender, atPeer, delay, times.lateMillis());
            case REORDERED_ANSWER -> exchange(sender, atPeer, delay, REORDER_MILLIS);
            case DUPLICATED_CALL -> {
                exchange(sender, atPeer, delay, delay);
                if (step != ClaimStep.SEND) {
                    exchange(sender, atPeer, times.lateMillis(), delay);
                }
            }
            case DUPLICATED_ANSWER -> duplicateAnswer(sender, atPeer, delay);
            default -> exchange(sender, atPeer, delay, delay);
        }
    }

    /**
     * Starts a fault that lasts.
     *
     * @param sender the process that calls
     * @param fault the fault
     * @param nowMillis the time, in milliseconds
     */
    private void startCondition(SimulatedProcess sender, CallFault fault, long nowMillis) {
        if (fault == CallFault.STORE_PARTITION) {
            cutUntilMillis.put(sender, nowMillis + times.outageMillis());
        } else if (fault == CallFault.STORE_DOWN) {
            storeDownUntilMillis = nowMillis + times.outageMillis();
        } else if (fault == CallFault.STORE_SLOW) {
            storeSlowUntilMillis = nowMillis + times.outageMillis();
        }
    }

    /**
     * Returns how long a message of a step takes.
     *
     * @param step the step
     * @return the time, in milliseconds
     */
    private long delay(ClaimStep step) {
        if (step.compareTo(ClaimStep.STORE_LEASE) > 0) {
            return times.peerDelayMillis();
        }
        return clock.nowMillis() < storeSlowUntilMillis ? SLOW_MILLIS : times.storeDelayMillis();
    }

    /**
     * Tells a sender that its call failed.
     *
     * @param sender the sender
     * @param delayMillis after which time, in milliseconds
     * @param failure what the failure does
     */
    private void fail(SimulatedProcess sender, long delayMillis, Runnable failure) {
        clock.after(delayMillis, () -> sender.post(failure, clock.nowMillis()));
    }

    /**
     * Has a call carried out and its answer delivered.
     *
     * @param sender the sender
     * @param atPeer what the peer does
     * @param toPeerMillis how long the call takes, in milliseconds
     * @param backMillis how long the answer takes, in milliseconds
     */
    private void exchange(
            SimulatedProcess sender, PeerCall atPeer, long toPeerMillis, long backMillis) {
        clock.after(
                toPeerMillis, () -> atPeer.arrive(answer -> deliver(sender, answer, backMillis)));
    }

    /**
     * Has a call carried out and its answer delivered twice.
     *
     * @param sender the sender
     * @param atPeer what the peer does
     * @param delayMillis how long the call takes, in milliseconds
     */
    private void duplicateAnswer(SimulatedProcess sender, PeerCall atPeer, long delayMillis) {
        clock.after(
                delayMillis,
                () ->
                        atPeer.arrive(
                                answer -> {
                                    deliver(sender, answer, delayMillis);
                                    deliver(sender, answer, times.lateMillis());
                                }));
    }

    /**
     * Delivers an answer.
     *
     * @param sender the process that called
     * @param answer what the answer does there
     * @param delayMillis how long the answer takes, in milliseconds
     */
    private void deliver(SimulatedProcess sender, Runnable answer, long delayMillis) {
        clock.after(delayMillis, () -> sender.post(answer, clock.nowMillis()));
    }
}
