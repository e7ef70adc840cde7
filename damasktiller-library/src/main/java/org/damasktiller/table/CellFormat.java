package org.damasktiller.table;

/**
 * Converts the text of a table cell to a typed value and back.
 *
 * @param <V> the type of the value
 */
interface CellFormat<V> {

    /**
     * Parses the text of a cell.
     *
     * @param text the text, trimmed and not empty
     * @return the value
     * @throws IllegalArgumentException if the text is not allowed
     */
    V parse(String text);

    /**
     * Formats a value as text that {@link #parse} converts back to an equal value.
     *
     * @param value the value
     * @return the text
     */
    String format(V value);

    /**
     * Describes the texts that {@link #parse} accepts.
     *
     * @return the description, which completes "allowed is" in error messages
     */
    String allowed();
}
