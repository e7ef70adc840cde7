package org.damasktiller.authority.commit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Encodes heads and segments as MessagePack. Safe for use by several threads. */
public final class LogCodec {

    /** The type of a segment. */
    private static final TypeReference<List<LogEntry>> ENTRIES = new TypeReference<>() {};

    /** The mapper, which is never configured after construction. */
    private final ObjectMapper mapper = new MessagePackMapper();

    /** Creates a codec. */
    public LogCodec() {}

    /**
     * Encodes a head.
     *
     * @param head the head
     * @return the bytes
     */
    public byte[] encodeHead(LogHead head) {
        return encode(head);
    }

    /**
     * Decodes a head.
     *
     * @param bytes the bytes
     * @return the head
     */
    public LogHead decodeHead(byte[] bytes) {
        try {
            return mapper.readValue(bytes, LogHead.class);
        } catch (IOException error) {
            throw unreadable(error);
        }
    }

    /**
     * Encodes a segment.
     *
     * @param entries the entries, oldest first
     * @return the bytes
     */
    public byte[] encodeSegment(List<LogEntry> entries) {
        return encode(entries);
    }

    /**
     * Decodes a segment.
     *
     * @param bytes the bytes
     * @return the entries, oldest first
     */
    public List<LogEntry> decodeSegment(byte[] bytes) {
        try {
            return mapper.readValue(bytes, ENTRIES);
        } catch (IOException error) {
            throw unreadable(error);
        }
    }

    /**
     * Encodes a value.
     *
     * @param value the value
     * @return the bytes
     */
    private byte[] encode(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException error) {
            throw new IllegalStateException("log value cannot be encoded", error);
        }
    }

    /**
     * Reports a value that cannot be decoded.
     *
     * @param cause the error beneath
     * @return the error
     */
    private static DamasktillerException unreadable(IOException cause) {
        return new DamasktillerException(
                ErrorCode.PROTOCOL_ERROR,
                Step.RECOVER,
                "store",
                Outcome.NOT_RUN,
                "a log value of the key-value service cannot be decoded",
                cause);
    }
}
