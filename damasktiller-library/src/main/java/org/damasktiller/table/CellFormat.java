package org.damasktiller.table;

/**
 * Converts between the text of a cell and its value.
 *
 * @param <V> the type of the value
 */
interface CellFormat<V> {

    /**
     * Reads the text of a cell.
     *
     * @param text the text, trimmed and not empty
     * @return the value
     * @throws IllegalArgumentException if the text is not allowed
     */
    V parse(String text);

    /**
     * Writes a value so that {@link #parse} reads it back.
     *
     * @param value the value
     * @return the text
     */
    String format(V value);

    /**
     * Describes which texts are allowed.
     *
     * @return the description, for error messages
     */
    String allowed();
}
