package org.damasktiller.scheduler.cell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.jspecify.annotations.Nullable;

/** Writes and reads the values that the system keeps in the store, as JSON. */
public final class StoredValues {

    /** The mapper; a newer release may add properties. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    /** Prevents instantiation. */
    private StoredValues() {}

    /**
     * Writes a value.
     *
     * @param value the value
     * @return its bytes
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("the value can't be written", exception);
        }
    }

    /**
     * Reads a value.
     *
     * @param bytes its bytes
     * @param type its type
     * @param <T> its type
     * @return the value, or null if the bytes hold no such value
     */
    public static <T> @Nullable T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException exception) {
            return null;
        }
    }
}
