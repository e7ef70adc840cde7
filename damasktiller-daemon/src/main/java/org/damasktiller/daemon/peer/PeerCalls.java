package org.damasktiller.daemon.peer;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.VmId;
import org.damasktiller.peer.PeerMessage;

/**
 * Makes calls to other entry VMs and serves theirs. A call may be carried out although no answer
 * came. Belongs to one reactor thread.
 */
final class PeerCalls {

    /** How long to wait for an answer, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 2_000;

    /** The most calls that wait for an answer. */
    private static final int MAXIMUM_WAITING = 10_000;

    /** The runtime. */
    private final Reactor reactor;

    /** Sends a message. */
    private final BiConsumer<VmId, PeerMessage> sender;

    /** The calls that wait for an answer, by number. */
    private final Map<Long, SettablePromise<byte[]>> waiting = new HashMap<>();

    /** Serves the calls of others. */
    private PeerService service =
            (from, body) ->
                    Promise.ofException(
                            error(ErrorCode.PROTOCOL_ERROR, from, "no service is offered"));

    /** The number of the latest call. */
    private long lastNumber;

    /**
     * Creates calls.
     *
     * @param reactor the runtime
     * @param sender sends a message
     */
    PeerCalls(Reactor reactor, BiConsumer<VmId, PeerMessage> sender) {
        this.reactor = reactor;
        this.sender = sender;
        this.lastNumber = reactor.currentTimeMillis();
    }

    /**
     * Sets what serves the calls of others.
     *
     * @param value the service
     */
    void serve(PeerService value) {
        service = value;
    }

    /**
     * Calls another entry VM.
     *
     * @param to the entry VM
     * @param body the encoded call
     * @return the encoded answer; fails with code DEADLINE_EXCEEDED if none came in time
     */
    Promise<byte[]> call(VmId to, byte[] body) {
        if (waiting.size() >= MAXIMUM_WAITING) {
            return Promise.ofException(error(ErrorCode.OVERLOADED, to, "too many calls wait"));
        }
        lastNumber++;
        long number = lastNumber;
        SettablePromise<byte[]> answer = new SettablePromise<>();
        waiting.put(number, answer);
        sender.accept(to, new PeerMessage.Call(number, body));
        reactor.delayBackground(TIMEOUT_MILLIS, () -> giveUp(number, to));
        return answer;
    }

    /**
     * Takes in a message if it belongs to a call.
     *
     * @param from the sender
     * @param message the message
     * @return whether it does
     */
    boolean onMessage(VmId from, PeerMessage message) {
        if (message instanceof PeerMessage.Call call) {
            service.serve(from, call.body())
                    .whenResult(
                            answer ->
                                    sender.accept(
                                            from,
                                            new PeerMessage.CallReply(call.number(), answer)));
            return true;
        }
        if (message instanceof PeerMessage.CallReply reply) {
            SettablePromise<byte[]> caller = waiting.remove(reply.number());
            if (caller != null) {
                caller.set(reply.body());
            }
            return true;
        }
        return false;
    }

    /**
     * Gives up waiting for an answer.
     *
     * @param number the number of the call
     * @param to the entry VM called
     */
    private void giveUp(long number, VmId to) {
        SettablePromise<byte[]> caller = waiting.remove(number);
        if (caller != null) {
            caller.setException(error(ErrorCode.DEADLINE_EXCEEDED, to, "no answer in time"));
        }
    }

    /**
     * Makes an error.
     *
     * @param code the code
     * @param peer the other entry VM
     * @param message what happened
     * @return the error
     */
    private static DamasktillerException error(ErrorCode code, VmId peer, String message) {
        return new DamasktillerException(
                code, Step.PEER, peer.value(), Outcome.OUTCOME_UNKNOWN, message);
    }
}
