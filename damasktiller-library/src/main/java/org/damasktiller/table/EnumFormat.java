package org.damasktiller.table;

import java.util.List;
import java.util.Locale;

/**
 * Converts enum constants, which are written in lower case with hyphens in place of underscores.
 *
 * @param <E> the type of the enum
 */
final class EnumFormat<E extends Enum<E>> implements CellFormat<E> {

    /** The constants that the cell may hold. */
    private final List<E> choices;

    /**
     * Creates a format.
     *
     * @param choices the constants that the cell may hold
     */
    EnumFormat(List<E> choices) {
        this.choices = List.copyOf(choices);
    }

    @Override
    public E parse(String text) {
        for (E choice : choices) {
            if (format(choice).equals(text)) {
                return choice;
            }
        }
        throw new IllegalArgumentException(text);
    }

    @Override
    public String format(E value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    @Override
    public String allowed() {
        return "one of " + choices.stream().map(this::format).toList();
    }
}
