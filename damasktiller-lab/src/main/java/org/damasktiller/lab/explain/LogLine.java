package org.damasktiller.lab.explain;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A line of the log of an entry VM, which reports one event.
 *
 * @param unixMillis the time of the event by the clock of the VM, in milliseconds since 1970
 * @param node the name of the VM
 * @param event the name of the event
 * @param fields the other fields as texts, by name, in the order of the line
 */
record LogLine(long unixMillis, String node, String event, Map<String, String> fields) {

    /** Copies the fields in their order. */
    LogLine {
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /**
     * Returns the value of a field.
     *
     * @param name the name of the field
     * @return the value, empty if the line has no such field
     */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
