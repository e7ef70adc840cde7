package org.damasktiller.table;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts whole numbers within a range, followed by a fixed unit if there is one. */
final class CountFormat implements CellFormat<Integer> {

    /** The longest run of digits that fits an int. */
    private static final String DIGITS = "(-?[0-9]{1,9})";

    /** The smallest number allowed. */
    private final int minimum;

    /** The largest number allowed. */
    private final int maximum;

    /** The unit after the number, or an empty text. */
    private final String unit;

    /** The shape of the text. */
    private final Pattern pattern;

    /**
     * Creates a format.
     *
     * @param minimum the smallest number allowed
     * @param maximum the largest number allowed
     * @param unit the unit after the number, or an empty text
     */
    CountFormat(int minimum, int maximum, String unit) {
        this.minimum = minimum;
        this.maximum = maximum;
        this.unit = unit;
        this.pattern = Pattern.compile(DIGITS + Pattern.quote(unit));
    }

    @Override
    public Integer parse(String text) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text);
        }
        int value = Integer.parseInt(matcher.group(1));
        if (value < minimum || value > maximum) {
            throw new IllegalArgumentException(text);
        }
        return value;
    }

    @Override
    public String format(Integer value) {
        return value + unit;
    }

    @Override
    public String allowed() {
        return "a whole number from " + minimum + unit + " to " + maximum + unit;
    }
}
