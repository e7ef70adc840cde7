package org.damasktiller.table;

import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Maps one column of the CSV table to a property of {@link KindOfWork}.
 *
 * @param <V> the type of the property
 */
final class TableColumn<V> {

    /** The name of the column in the header row. */
    private final String header;

    /** Converts the text of the cells. */
    private final CellFormat<V> format;

    /** Reads the property from a row. */
    private final Function<KindOfWork, V> getter;

    /** Sets the property in the builder of a row. */
    private final BiConsumer<KindOfWork.Builder, V> setter;

    /**
     * Creates a column.
     *
     * @param header the name of the column in the header row
     * @param format converts the text of the cells
     * @param getter reads the property from a row
     * @param setter sets the property in the builder of a row
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
     * Returns the name of the column in the header row.
     *
     * @return the name
     */
    String header() {
        return header;
    }

    /**
     * Describes the texts that a cell may hold.
     *
     * @return the description, for error messages
     */
    String allowed() {
        return format.allowed();
    }

    /**
     * Formats the cell of a row.
     *
     * @param row the row
     * @return the text of the cell
     */
    String text(KindOfWork row) {
        return format.format(getter.apply(row));
    }

    /**
     * Parses a cell and sets the property in the builder of a row.
     *
     * @param builder the builder of the row
     * @param text the text of the cell, not empty
     * @throws IllegalArgumentException if the text is not allowed
     */
    void apply(KindOfWork.Builder builder, String text) {
        setter.accept(builder, format.parse(text));
    }
}
