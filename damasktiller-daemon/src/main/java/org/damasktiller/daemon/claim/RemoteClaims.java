package org.damasktiller.daemon.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.function.BiFunction;
import org.damasktiller.authority.claim.ClaimAnswer;
import org.damasktiller.authority.claim.ClaimGranted;
import org.damasktiller.authority.claim.ClaimKey;
import org.damasktiller.authority.claim.ClaimNonce;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.VmId;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Calls the owners of claim shards on other entry VMs, and serves their calls, in MessagePack. */
public final class RemoteClaims implements ClaimPeers {

    /** Converts calls and replies. */
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    /** Calls an entry VM with an encoded call. */
    private final BiFunction<VmId, byte[], Promise<byte[]>> caller;

    /**
     * Creates a client.
     *
     * @param caller calls an entry VM with an encoded call
     */
    public RemoteClaims(BiFunction<VmId, byte[], Promise<byte[]>> caller) {
        this.caller = caller;
    }

    @Override
    public Promise<ClaimAnswer> ask(VmId owner, ClaimKey key, ClaimNonce nonce) {
        return send(owner, ClaimCall.Type.ASK, key, nonce)
                .map(bytes -> read(bytes, ClaimCallReply.class, owner).answer());
    }

    @Override
    public void release(VmId owner, ClaimKey key, ClaimNonce nonce) {
        send(owner, ClaimCall.Type.RELEASE, key, nonce);
    }

    @Override
    public void complete(VmId owner, ClaimKey key, ClaimNonce nonce) {
        send(owner, ClaimCall.Type.COMPLETE, key, nonce);
    }

    /**
     * Serves a call of another entry VM.
     *
     * @param host the owners on this VM
     * @param from the entry VM that calls
     * @param body the encoded call
     * @return the encoded reply
     */
    public static Promise<byte[]> serve(ClaimHost host, VmId from, byte[] body) {
        ClaimCall call = read(body, ClaimCall.class, from);
        return switch (call.type()) {
            case ASK ->
                    host.askHere(call.claimKey(), call.claimNonce())
                            .map(answer -> write(ClaimCallReply.of(answer)));
            case RELEASE -> {
                host.releaseHere(call.claimKey(), call.claimNonce());
                yield confirmed();
            }
            case COMPLETE -> {
                host.completeHere(call.claimKey(), call.claimNonce());
                yield confirmed();
            }
        };
    }

    /**
     * Sends one call.
     *
     * @param owner the entry VM of the owner
     * @param type what is asked
     * @param key what is claimed
     * @param nonce the try
     * @return the encoded reply
     */
    private Promise<byte[]> send(VmId owner, ClaimCall.Type type, ClaimKey key, ClaimNonce nonce) {
        return caller.apply(owner, write(ClaimCall.of(type, key, nonce)));
    }

    /**
     * Makes the reply to a call that asks nothing.
     *
     * @return the encoded reply
     */
    private static Promise<byte[]> confirmed() {
        return Promise.of(write(ClaimCallReply.of(new ClaimGranted())));
    }

    /**
     * Encodes a call or a reply.
     *
     * @param value the call or reply
     * @return the bytes
     */
    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("calls can always be encoded", exception);
        }
    }

    /**
     * Decodes a call or a reply.
     *
     * @param bytes the bytes
     * @param type the type
     * @param peer the entry VM that sent them, for the error
     * @param <T> the type
     * @return the call or reply
     */
    private static <T> T read(byte[] bytes, Class<T> type, VmId peer) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException | RuntimeException exception) {
            throw new DamasktillerException(
                    ErrorCode.PROTOCOL_ERROR,
                    Step.PEER,
                    peer.value(),
                    Outcome.NOT_RUN,
                    "a call on a claim that cannot be decoded",
                    exception);
        }
    }
}
