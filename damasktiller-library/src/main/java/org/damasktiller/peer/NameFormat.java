package org.damasktiller.peer;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Annotates the types of names so that they are written as plain texts. */
abstract class NameFormat {

    /**
     * Marks the constructor that takes the text alone.
     *
     * @param value the text
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    NameFormat(String value) {}

    /**
     * Marks the text as the whole value.
     *
     * @return the text
     */
    @JsonValue
    abstract String value();
}
