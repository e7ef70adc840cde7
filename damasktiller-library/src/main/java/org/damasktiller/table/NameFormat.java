package org.damasktiller.table;

import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Converts typed names. A name begins with a letter or digit, so that spreadsheet programs do not
 * interpret it as a formula.
 *
 * @param <N> the type of the name
 */
final class NameFormat<N> implements CellFormat<N> {

    /** Matches a valid name; the first character must not begin a spreadsheet formula. */
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    /** Creates a name from its text. */
    private final Function<String, N> constructor;

    /**
     * Creates a format.
     *
     * @param constructor creates a name from its text
     */
    NameFormat(Function<String, N> constructor) {
        this.constructor = constructor;
    }

    @Override
    public N parse(String text) {
        if (!NAME_PATTERN.matcher(text).matches()) {
            throw new IllegalArgumentException(text);
        }
        return constructor.apply(text);
    }

    @Override
    public String format(N value) {
        return value.toString();
    }

    @Override
    public String allowed() {
        return "1 to 63 letters, digits, dots, hyphens and underscores, a letter or digit first";
    }
}
