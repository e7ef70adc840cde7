package org.damasktiller.worker;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Makes the mapper by which commands and answers become JSON. */
public final class WorkerMapper {

    /** Prevents instantiation. */
    private WorkerMapper() {}

    /**
     * Makes a mapper that ignores unknown properties, so that either end may be upgraded first.
     *
     * @return the mapper
     */
    public static ObjectMapper json() {
        return JsonMapper.builder()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
    }
}
