package org.damasktiller.lab.explain;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of the log of an entry VM.
 *
 * @param unixMillis when, in milliseconds since 1970 by that VM's clock
 * @param node the VM
 * @param event the kind of the event
 * @param fields the other fields, in their order
 */
record LogLine(long unixMillis, String node, String event, Map<String, String> fields) {

    /** Keeps the order of the fields. */
    LogLine {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Returns a field.
     *
     * @param name its name
     * @return the value, empty if it is missing
     */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
