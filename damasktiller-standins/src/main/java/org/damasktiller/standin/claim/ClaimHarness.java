package org.damasktiller.standin.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.damasktiller.authority.claim.AskClaim;
import org.damasktiller.authority.claim.AskShard;
import org.damasktiller.authority.claim.AtMostOnceRequest;
import org.damasktiller.authority.claim.ClaimAction;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimEvent;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonces;
import org.damasktiller.authority.claim.ClaimReply;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.authority.claim.ClaimShardOwner;
import org.damasktiller.authority.claim.ClaimStoreAnswered;
import org.damasktiller.authority.claim.ClaimStoreFailed;
import org.damasktiller.authority.claim.ClaimStoreRequest;
import org.damasktiller.authority.claim.ClaimTick;
import org.damasktiller.authority.claim.CompleteClaim;
import org.damasktiller.authority.claim.FinishRequest;
import org.damasktiller.authority.claim.ForwarderAction;
import org.damasktiller.authority.claim.GiveBack;
import org.damasktiller.authority.claim.ReleaseClaim;
import org.damasktiller.authority.claim.ReportAnswered;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.VmId;
import org.damasktiller.standin.store.StoreCallHandler;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.time.VirtualTime;

/**
 * Drives two owners of one claim shard and two forwarders against a stand-in store and endpoint in
 * virtual time. The tries record what the caller was told and what the endpoint executed, outside
 * of the code under test.
 */
public final class ClaimHarness {

    /** The time at the start, in milliseconds. */
    private static final long START_MILLIS = 1_000_000;

    /** The number of processes of each sort. */
    private static final int PROCESSES = 2;

    /** The settings of the owners. */
    private final ClaimSettings settings;

    /** The times. */
    private final ClaimTimes times;

    /** The clock. */
    private final VirtualTime clock = new VirtualTime(START_MILLIS);

    /** The network. */
    private final FaultyNetwork network;

    /** The store. */
    private final StoreState store = new StoreState();

    /** The processes that can own the shard, the present ones. */
    private final List<ShardProcess> shards = new ArrayList<>();

    /** The processes that forward, the present ones. */
    private final List<ForwarderProcess> forwarders = new ArrayList<>();

    /** The tries so far. */
    private final List<RequestTry> tries = new ArrayList<>();

    /** The number of processes started so far. */
    private int started;

    /** The latest number given to a question. */
    private long lastReplyId;

    /**
     * Starts two owners and two forwarders.
     *
     * @param settings the settings of the owners
     * @param times the times
     * @param faults the faults
     */
    public ClaimHarness(ClaimSettings settings, ClaimTimes times, ClaimFaults faults) {
        this.settings = settings;
        this.times = times;
        this.network = new FaultyNetwork(times, clock, faults);
        for (int index = 0; index < PROCESSES; index++) {
            shards.add(newShard());
            forwarders.add(newForwarder());
            tickShard(index);
            tickForwarder(index);
        }
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
        return store;
    }

    /**
     * Returns the number of calls so far.
     *
     * @return the number of calls
     */
    public int calls() {
        return network.calls();
    }

    /**
     * Returns the tries so far.
     *
     * @return the tries, in the order of their beginning
     */
    public List<RequestTry> tries() {
        return List.copyOf(tries);
    }

    /**
     * Tells whether a process that runs owns the shard.
     *
     * @return whether claims can be granted
     */
    public boolean active() {
        return shards.stream()
                .anyMatch(
                        shard ->
                                shard.alive()
                                        && !shard.paused(clock.nowMillis())
                                        && shard.owner.active());
    }

    /**
     * Has a caller try a request.
     *
     * @param key the key
     * @param forwarder the number of the forwarder
     * @return the try
     */
    public RequestTry request(ClaimKey key, int forwarder) {
        ForwarderProcess process = forwarders.get(forwarder);
        long now = clock.nowMillis();
        RequestTry begun = new RequestTry(key, process.nonces.next(), now);
        tries.add(begun);
        process.post(
                () -> {
                    long deadline = now + times.deadlineMillis();
                    AtMostOnceRequest request = new AtMostOnceRequest(key, begun.nonce(), deadline);
                    process.requests.put(begun, request);
                    carryOut(process, begun, request.tick(clock.nowMillis()));
                },
                now);
        return begun;
    }

    /**
     * Makes a process that can own the shard.
     *
     * @return the process
     */
    private ShardProcess newShard() {
        return new ShardProcess(new ClaimShardOwner(settings, 0, identity()));
    }

    /**
     * Makes a process that forwards.
     *
     * @return the process
     */
    private ForwarderProcess newForwarder() {
        return new ForwarderProcess(new ClaimNonces(identity()));
    }

    /**
     * Makes the identity of a new process.
     *
     * @return the identity
     */
    private OwnerIdentity identity() {
        started++;
        return new OwnerIdentity(new VmId("vm" + started % PROCESSES), "p" + started);
    }

    /**
     * Gives the owner in a place its ticks, and replaces it after its death.
     *
     * @param index the place
     */
    private void tickShard(int index) {
        ShardProcess process = shards.get(index);
        if (!process.alive()) {
            clock.after(
                    times.replaceMillis(),
                    () -> {
                        shards.set(index, newShard());
                        tickShard(index);
                    });
            return;
        }
        process.resume(clock.nowMillis());
        if (!process.paused(clock.nowMillis())) {
            handle(process, new ClaimTick());
        }
        clock.after(times.tickMillis(), () -> tickShard(index));
    }

    /**
     * Gives the forwarder in a place its ticks, and replaces it after its death.
     *
     * @param index the place
     */
    private void tickForwarder(int index) {
        ForwarderProcess process = forwarders.get(index);
        if (!process.alive()) {
            clock.after(
                    times.replaceMillis(),
                    () -> {
                        forwarders.set(index, newForwarder());
                        tickForwarder(index);
                    });
            return;
        }
        process.resume(clock.nowMillis());
        if (!process.paused(clock.nowMillis())) {
            for (Map.Entry<RequestTry, AtMostOnceRequest> entry :
                    List.copyOf(process.requests.entrySet())) {
                carryOut(process, entry.getKey(), entry.getValue().tick(clock.nowMillis()));
            }
        }
        clock.after(times.tickMillis(), () -> tickForwarder(index));
    }

    /**
     * Passes an event to an owner and carries out its actions.
     *
     * @param process the process
     * @param event the event
     */
    private void handle(ShardProcess process, ClaimEvent event) {
        for (ClaimAction action : process.owner.handle(event, clock.nowMillis())) {
            process.post(() -> carryOut(process, action), clock.nowMillis());
        }
    }

    /**
     * Carries out one action of an owner.
     *
     * @param process the process
     * @param action the action
     */
    private void carryOut(ShardProcess process, ClaimAction action) {
        if (action instanceof ClaimReply reply) {
            Consumer<ClaimAnswer> question = process.questions.remove(reply.replyId());
            if (question == null) {
                throw new IllegalStateException("answered twice: " + reply);
            }
            question.accept(reply.answer());
        } else if (action instanceof ClaimStoreRequest request) {
            network.sendToStore(
                    process,
                    request.call(),
                    back -> atStore(process, request, back),
                    () -> handle(process, new ClaimStoreFailed(request.callId())));
        }
    }

    /**
     * Has the store carry out a call.
     *
     * @param process the process that calls
     * @param request the call
     * @param back takes the answer
     */
    private void atStore(ShardProcess process, ClaimStoreRequest request, Consumer<Runnable> back) {
        if (!network.storeUp(process)) {
            return;
        }
        ClaimEvent event;
        try {
            event =
                    new ClaimStoreAnswered(
                            request.callId(),
                            StoreCallHandler.handle(store, request.call(), clock.nowMillis()));
        } catch (DamasktillerException refused) {
            event = new ClaimStoreFailed(request.callId());
        }
        ClaimEvent answer = event;
        back.accept(() -> handle(process, answer));
    }

    /**
     * Carries out the actions of a request.
     *
     * @param process the forwarder
     * @param begun the try
     * @param actions the actions
     */
    private void carryOut(
            ForwarderProcess process, RequestTry begun, List<ForwarderAction> actions) {
        for (ForwarderAction action : actions) {
            process.post(() -> carryOut(process, begun, action), clock.nowMillis());
        }
    }

    /**
     * Carries out one action of a request.
     *
     * @param process the forwarder
     * @param begun the try
     * @param action the action
     */
    private void carryOut(ForwarderProcess process, RequestTry begun, ForwarderAction action) {
        AtMostOnceRequest request = process.requests.get(begun);
        if (request == null) {
            return;
        }
        if (action instanceof FinishRequest end) {
            begun.tell(end, clock.nowMillis());
        } else if (action instanceof AskShard ask) {
            network.send(
                    process,
                    ClaimStep.ASK,
                    back ->
                            question(
                                    ask,
                                    answer ->
                                            back.accept(
                                                    () ->
                                                            carryOut(
                                                                    process,
                                                                    begun,
                                                                    request.claimAnswered(
                                                                            answer,
                                                                            clock.nowMillis())))),
                    () -> {});
        } else if (action instanceof GiveBack gift) {
            tell(process, ClaimStep.GIVE_BACK, new ReleaseClaim(gift.key(), gift.nonce()));
        } else if (action instanceof ReportAnswered report) {
            tell(process, ClaimStep.REPORT, new CompleteClaim(report.key(), report.nonce()));
        } else {
            network.send(
                    process,
                    ClaimStep.SEND,
                    back -> {
                        begun.execute();
                        back.accept(() -> carryOut(process, begun, request.answered()));
                    },
                    () -> carryOut(process, begun, request.sendFailed()));
        }
    }

    /**
     * Puts a question to the owners, each of which may answer.
     *
     * @param ask the question
     * @param back takes the answers
     */
    private void question(AskShard ask, Consumer<ClaimAnswer> back) {
        for (ShardProcess process : List.copyOf(shards)) {
            process.post(
                    () -> {
                        lastReplyId++;
                        process.questions.put(lastReplyId, back);
                        handle(process, new AskClaim(lastReplyId, ask.key(), ask.nonce()));
                    },
                    clock.nowMillis());
        }
    }

    /**
     * Tells the owners something that needs no answer.
     *
     * @param process the forwarder
     * @param step the step
     * @param event the event
     */
    private void tell(ForwarderProcess process, ClaimStep step, ClaimEvent event) {
        network.send(
                process,
                step,
                back -> {
                    for (ShardProcess shard : List.copyOf(shards)) {
                        shard.post(() -> handle(shard, event), clock.nowMillis());
                    }
                },
                () -> {});
    }
}
