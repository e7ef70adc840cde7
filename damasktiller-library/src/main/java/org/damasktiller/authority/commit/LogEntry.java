package org.damasktiller.authority.commit;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Holds the whole state of one thing at one moment. A later entry replaces an earlier one of the
 * same key. Two entries are the same only if they are the same object.
 *
 * @param key what the entry is about
 * @param value the encoded state, not to be changed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"key", "value"})
@SuppressWarnings("ArrayRecordComponent")
public record LogEntry(String key, byte[] value) {

    /** The bytes that the encoding adds to an entry at most. */
    private static final int OVERHEAD_BYTES = 10;

    /**
     * Returns a bound of the encoded size.
     *
     * @return the size, in bytes
     */
    public int size() {
        return key.length() + value.length + OVERHEAD_BYTES;
    }
}
