package org.damasktiller.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Converts messages between entry VMs to MessagePack and back. Safe for use by several threads. */
public final class PeerCodec {

    /** The version of the format. */
    public static final int FORMAT_VERSION = 1;

    /** The largest message accepted, in bytes; a whole table fits. */
    public static final int MAXIMUM_BYTES = 900_000;

    /** The types in the order of their codes. */
    private static final List<Class<? extends PeerMessage>> TYPES =
            List.of(
                    PeerMessage.Hello.class,
                    PeerMessage.TablePatch.class,
                    PeerMessage.TableSnapshot.class,
                    PeerMessage.TableRequest.class,
                    PeerMessage.TableApplied.class,
                    PeerMessage.ZoneReport.class,
                    PeerMessage.StatusRequest.class,
                    PeerMessage.StatusReply.class,
                    PeerMessage.EndpointMarks.class,
                    PeerMessage.Call.class,
                    PeerMessage.CallReply.class);

    /** Converts records to MessagePack arrays. */
    private static final ObjectMapper MAPPER = mapper();

    /** Prevents instantiation. */
    private PeerCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the bytes
     */
    public static byte[] encode(PeerMessage message) {
        try {
            return MAPPER.writeValueAsBytes(
                    new Envelope(
                            TYPES.indexOf(message.getClass()), MAPPER.writeValueAsBytes(message)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("messages can always be encoded", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the bytes of one frame
     * @param peer the sender, for the error
     * @return the message
     * @throws DamasktillerException with code PROTOCOL_ERROR if it is not a message
     */
    public static PeerMessage decode(byte[] bytes, String peer) {
        if (bytes.length > MAXIMUM_BYTES) {
            throw error(peer, "message of " + bytes.length + " bytes", null);
        }
        try {
            Envelope envelope = MAPPER.readValue(bytes, Envelope.class);
            return MAPPER.readValue(envelope.body(), TYPES.get(envelope.type()));
        } catch (IOException | RuntimeException e) {
            throw error(peer, "message that cannot be decoded", e);
        }
    }

    /**
     * Makes the error for a message that the protocol does not allow.
     *
     * @param peer the sender
     * @param what what is wrong
     * @param cause the error beneath, or null
     * @return the error
     */
    public static DamasktillerException error(String peer, String what, @Nullable Exception cause) {
        return new DamasktillerException(
                ErrorCode.PROTOCOL_ERROR, Step.PEER, peer, Outcome.NOT_RUN, what, cause);
    }

    /**
     * Makes the mapper; records become arrays and names become texts.
     *
     * @return the mapper
     */
    private static ObjectMapper mapper() {
        ObjectMapper mapper = new MessagePackMapper();
        mapper.configOverride(ZoneStatus.class)
                .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        mapper.configOverride(EndpointMark.class)
                .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        TYPES.forEach(
                type ->
                        mapper.configOverride(type)
                                .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)));
        mapper.addMixIn(VmId.class, NameFormat.class);
        mapper.addMixIn(ZoneName.class, NameFormat.class);
        mapper.addMixIn(RegionName.class, NameFormat.class);
        mapper.addMixIn(EndpointId.class, NameFormat.class);
        return mapper;
    }

    /**
     * Holds a message with its type as it is sent.
     *
     * @param type the code of the type
     * @param body the encoded message
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @SuppressWarnings("ArrayRecordComponent")
    private record Envelope(int type, byte[] body) {}
}
