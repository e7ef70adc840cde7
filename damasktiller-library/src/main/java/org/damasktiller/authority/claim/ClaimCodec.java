package org.damasktiller.authority.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import org.damasktiller.authority.commit.LogEntry;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Turns claims into log entries and back. */
final class ClaimCodec {

    /** The mapper. */
    private final ObjectMapper mapper;

    /** Creates a codec that stores an enum constant by its index. */
    ClaimCodec() {
        mapper = new MessagePackMapper();
        mapper.enable(SerializationFeature.WRITE_ENUMS_USING_INDEX);
    }

    /**
     * Encodes a claim.
     *
     * @param key the text of the key
     * @param claim the claim
     * @return the entry
     */
    LogEntry encode(String key, ClaimRecord claim) {
        EncodedClaim encoded =
                new EncodedClaim(claim.nonce().value(), claim.state(), claim.claimedMillis());
        try {
            return new LogEntry(key, mapper.writeValueAsBytes(encoded));
        } catch (JsonProcessingException error) {
            throw new IllegalStateException("claim cannot be encoded", error);
        }
    }

    /**
     * Decodes an entry.
     *
     * @param entry the entry
     * @return the claim
     */
    ClaimRecord decode(LogEntry entry) {
        try {
            EncodedClaim claim = mapper.readValue(entry.value(), EncodedClaim.class);
            return new ClaimRecord(
                    new ClaimNonce(claim.nonce()), claim.state(), claim.claimedMillis());
        } catch (IOException error) {
            throw new DamasktillerException(
                    ErrorCode.PROTOCOL_ERROR,
                    Step.RECOVER,
                    "store",
                    Outcome.OUTCOME_UNKNOWN,
                    "the claim of " + entry.key() + " cannot be decoded",
                    error);
        }
    }
}
