package org.damasktiller.table;

import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Describes one column of the table.
 *
 * @param <V> the type of the values
 */
final class TableColumn<V> {

    /** The name in the first line. */
    private final String header;

    /** Converts the cells. */
    private final CellFormat<V> format;

    /** Reads the value from a row. */
    private final Function<KindOfWork, V> getter;

    /** Sets the value in a row being built. */
    private final BiConsumer<KindOfWork.Builder, V> setter;

    /**
     * Creates a column.
     *
     * @param header the name in the first line
     * @param format converts the cells
     * @param getter reads the value from a row
     * @param setter sets the value in a row being built
     */
    TableColumn(
            String header,
            CellFormat<V> format,
            Function<KindOfWork, V> getter,
            BiConsumer<KindOfWork.Builder, V> setter) {
        this.header = header;
        this.format = format;
        this.getter = getter;
        this.setter = setter;
    }

    /**
     * Returns the name in the first line.
     *
     * @return the name
     */
    String header() {
        return header;
    }

    /**
     * Describes the cells allowed.
     *
     * @return the description
     */
    String allowed() {
        return format.allowed();
    }

    /**
     * Writes the cell of a row.
     *
     * @param row the row
     * @return the text of the cell
     */
    String text(KindOfWork row) {
        return format.format(getter.apply(row));
    }

    /**
     * Reads a cell into a row being built.
     *
     * @param builder the row being built
     * @param text the text of the cell, not empty
     * @throws IllegalArgumentException if the text is not allowed
     */
    void apply(KindOfWork.Builder builder, String text) {
        setter.accept(builder, format.parse(text));
    }
}
