package org.damasktiller.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Converts gossip messages to MessagePack and back, and refuses those of another version, zone or
 * cluster. Safe for use by several threads.
 */
public final class GossipCodec {

    /** The version of the format. */
    private static final int FORMAT_VERSION = 1;

    /** The largest datagram accepted, in bytes. */
    private static final int MAXIMUM_BYTES = 1_400;

    /** The most rumors accepted in one datagram. */
    private static final int MAXIMUM_RUMORS = 200;

    /** The types in the order of their codes. */
    private static final List<GossipType> TYPES = List.of(GossipType.values());

    /** The subjects in the order of their codes. */
    private static final List<RumorSubject> SUBJECTS = List.of(RumorSubject.values());

    /** The statuses in the order of their codes. */
    private static final List<MemberStatus> STATUSES = List.of(MemberStatus.values());

    /** Converts records to MessagePack arrays. */
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    /** The availability zone within which messages are exchanged. */
    private final ZoneName zone;

    /** The name shared by all members of the cluster. */
    private final String cluster;

    /**
     * Creates a codec.
     *
     * @param zone the availability zone within which messages are exchanged
     * @param cluster the name shared by all members of the cluster
     */
    public GossipCodec(ZoneName zone, String cluster) {
        this.zone = zone;
        this.cluster = cluster;
    }

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the bytes
     */
    public byte[] encode(GossipMessage message) {
        List<WireRumor> rumors = new ArrayList<>();
        for (Rumor rumor : message.rumors()) {
            rumors.add(
                    new WireRumor(
                            SUBJECTS.indexOf(rumor.subject()),
                            rumor.id(),
                            rumor.incarnation(),
                            STATUSES.indexOf(rumor.status())));
        }
        WireMessage wire =
                new WireMessage(
                        FORMAT_VERSION,
                        cluster,
                        zone.value(),
                        TYPES.indexOf(message.type()),
                        message.sender().value(),
                        message.incarnation(),
                        message.leaving(),
                        message.sequence(),
                        text(message.target()),
                        text(message.origin()),
                        message.viewDigest(),
                        message.tableVersion(),
                        rumors);
        try {
            return MAPPER.writeValueAsBytes(wire);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("gossip messages can always be encoded", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the bytes of one datagram
     * @param source the address from which it came, for the error
     * @return the message
     * @throws DamasktillerException with code PROTOCOL_ERROR if it is not a message of this
     *     version, zone and cluster
     */
    public GossipMessage decode(byte[] bytes, String source) {
        if (bytes.length > MAXIMUM_BYTES) {
            throw error(source, "datagram of " + bytes.length + " bytes", null);
        }
        WireMessage wire;
        try {
            wire = MAPPER.readValue(bytes, WireMessage.class);
            if (wire.version() == FORMAT_VERSION
                    && wire.cluster().equals(cluster)
                    && wire.zone().equals(zone.value())
                    && wire.rumors().size() <= MAXIMUM_RUMORS) {
                return toMessage(wire);
            }
        } catch (IOException | RuntimeException e) {
            throw error(source, "datagram that cannot be decoded", e);
        }
        throw error(
                source,
                "datagram of version "
                        + wire.version()
                        + ", zone "
                        + wire.zone()
                        + " of another cluster, zone or version",
                null);
    }

    /**
     * Converts what was received to a message.
     *
     * @param wire what was received
     * @return the message
     */
    private static GossipMessage toMessage(WireMessage wire) {
        List<Rumor> rumors = new ArrayList<>();
        for (WireRumor rumor : wire.rumors()) {
            RumorSubject subject = SUBJECTS.get(rumor.subject());
            rumors.add(
                    new Rumor(
                            subject,
                            checkedName(subject, rumor.id()),
                            rumor.incarnation(),
                            STATUSES.get(rumor.status())));
        }
        return new GossipMessage(
                TYPES.get(wire.type()),
                new VmId(wire.sender()),
                wire.incarnation(),
                wire.leaving(),
                wire.sequence(),
                id(wire.target()),
                id(wire.origin()),
                wire.viewDigest(),
                wire.tableVersion(),
                rumors);
    }

    /**
     * Checks the name of a subject.
     *
     * @param subject what it names
     * @param id the name
     * @return the name
     * @throws IllegalArgumentException if it cannot be a name
     */
    private static String checkedName(RumorSubject subject, String id) {
        return subject == RumorSubject.MEMBER ? new VmId(id).value() : new EndpointId(id).value();
    }

    /**
     * Makes the error for a refused datagram.
     *
     * @param source the address from which it came
     * @param what what is wrong
     * @param cause the error beneath, or null
     * @return the error
     */
    private static DamasktillerException error(
            String source, String what, @Nullable Exception cause) {
        return new DamasktillerException(
                ErrorCode.PROTOCOL_ERROR, Step.PEER, source, Outcome.NOT_RUN, what, cause);
    }

    /**
     * Writes an address that may be absent.
     *
     * @param id the address, or null
     * @return the text, empty for null
     */
    private static String text(@Nullable VmId id) {
        return id == null ? "" : id.value();
    }

    /**
     * Reads an address that may be absent.
     *
     * @param text the text
     * @return the address, or null for an empty text
     */
    private static @Nullable VmId id(String text) {
        return text.isEmpty() ? null : new VmId(text);
    }

    /**
     * Holds a rumor as it is sent.
     *
     * @param subject the code of the subject
     * @param id the address or name
     * @param incarnation the incarnation
     * @param status the code of the status
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record WireRumor(int subject, String id, long incarnation, int status) {}

    /**
     * Holds a message as it is sent.
     *
     * @param version the version of the format
     * @param cluster the name of the cluster
     * @param zone the zone
     * @param type the code of the type
     * @param sender the sender
     * @param incarnation the incarnation of the sender
     * @param leaving whether the sender is leaving
     * @param sequence the number of the probe
     * @param target the member to probe, or an empty text
     * @param origin the member for which a probe is made, or an empty text
     * @param viewDigest the digest of the members known
     * @param tableVersion the version of the table in force
     * @param rumors the rumors
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record WireMessage(
            int version,
            String cluster,
            String zone,
            int type,
            String sender,
            long incarnation,
            boolean leaving,
            int sequence,
            String target,
            String origin,
            long viewDigest,
            long tableVersion,
            List<WireRumor> rumors) {}
}
