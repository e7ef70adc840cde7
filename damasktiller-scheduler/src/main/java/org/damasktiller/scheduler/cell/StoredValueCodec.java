package org.damasktiller.scheduler.cell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.damasktiller.scheduler.fatal.FatalErrors;
import org.jspecify.annotations.Nullable;

/** Encodes the scheduler's records as JSON for the store, and decodes them. */
public final class StoredValueCodec {

    /** Ignores unknown properties, which a newer release may have written. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    /** Prevents instantiation. */
    private StoredValueCodec() {}

    /**
     * Encodes a value.
     *
     * @param value the value, usually a record whose components become the properties
     * @return the JSON text as bytes
     * @throws IllegalArgumentException if the value has no JSON form
     */
    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("cannot encode the value as JSON", exception);
        }
    }

    /**
     * Decodes a value.
     *
     * @param bytes the stored bytes
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value, or null if the bytes are not valid JSON for the type
     */
    public static <T> @Nullable T decode(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException exception) {
            FatalErrors.rethrowFatalCause(exception);
            return null;
        }
    }
}
