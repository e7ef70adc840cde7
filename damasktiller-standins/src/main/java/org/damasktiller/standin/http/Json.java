package org.damasktiller.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;

/** Reads and writes JSON texts. */
public final class Json {

    /** The mapper; unknown properties and trailing text are errors. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .build();

    /** Prevents instantiation. */
    private Json() {}

    /**
     * Writes an object as JSON.
     *
     * @param value the object
     * @return the text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException("cannot be written as JSON", exception);
        }
    }

    /**
     * Reads an object from the bytes of a JSON text.
     *
     * @param bytes the text in UTF-8
     * @param type the type of the object
     * @param step the step for the error
     * @param peer the peer that sent the bytes, for the error
     * @param <T> the type of the object
     * @return the object
     * @throws DamasktillerException with code BAD_REQUEST if the bytes are no such JSON text
     */
    public static <T> T read(byte[] bytes, Class<T> type, Step step, String peer) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new DamasktillerException(
                        ErrorCode.BAD_REQUEST, step, peer, Outcome.NOT_RUN, "the text is null");
            }
            return value;
        } catch (IOException exception) {
            throw new DamasktillerException(
                    ErrorCode.BAD_REQUEST,
                    step,
                    peer,
                    Outcome.NOT_RUN,
                    "not a valid " + type.getSimpleName() + ": " + firstLine(exception),
                    exception);
        }
    }

    /**
     * Returns the first line of an error's message.
     *
     * @param exception the error
     * @return the line
     */
    private static String firstLine(IOException exception) {
        String message = String.valueOf(exception.getMessage());
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }
}
