package org.damasktiller.table;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts whole numbers within a range, optionally followed by a fixed unit such as {@code %}. */
final class IntegerFormat implements CellFormat<Integer> {

    /** Matches an optional sign and up to 9 digits, which always fit an int. */
    private static final String NUMBER_REGEX = "(-?[0-9]{1,9})";

    /** The smallest number allowed. */
    private final int minimum;

    /** The largest number allowed. */
    private final int maximum;

    /** The unit after the number, or an empty string if there is none. */
    private final String unit;

    /** Matches the number, as group 1, and the unit. */
    private final Pattern pattern;

    /**
     * Creates a format.
     *
     * @param minimum the smallest number allowed
     * @param maximum the largest number allowed
     * @param unit the unit after the number, or an empty string if there is none
     */
    IntegerFormat(int minimum, int maximum, String unit) {
        this.minimum = minimum;
        this.maximum = maximum;
        this.unit = unit;
        this.pattern = Pattern.compile(NUMBER_REGEX + Pattern.quote(unit));
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
