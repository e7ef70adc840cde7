package org.damasktiller.table;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts whole amounts with a unit, such as {@code 90s} or {@code 2GB}, to the smallest unit. */
final class QuantityFormat implements CellFormat<Long> {

    /** The milliseconds in a second. */
    private static final long MILLIS_PER_SECOND = 1000;

    /** The milliseconds in a minute. */
    private static final long MILLIS_PER_MINUTE = 60 * MILLIS_PER_SECOND;

    /** The milliseconds in an hour. */
    private static final long MILLIS_PER_HOUR = 60 * MILLIS_PER_MINUTE;

    /** The milliseconds in a day. */
    private static final long MILLIS_PER_DAY = 24 * MILLIS_PER_HOUR;

    /** The longest time allowed, in milliseconds. */
    private static final long MAXIMUM_TIME_MILLIS = 30 * MILLIS_PER_DAY;

    /** The megabytes in a gigabyte. */
    private static final long MEGABYTES_PER_GIGABYTE = 1000;

    /** The largest memory allowed, in megabytes. */
    private static final long MAXIMUM_MEMORY_MEGABYTES = 4_000 * MEGABYTES_PER_GIGABYTE;

    /** Matches an amount, as group 1, and its unit, as group 2. */
    private static final Pattern QUANTITY_PATTERN = Pattern.compile("([0-9]{1,12}) ?([A-Za-z]+)");

    /** The units, the largest first. */
    private final List<Unit> units;

    /** The largest amount allowed, in the smallest unit. */
    private final long maximum;

    /**
     * Creates a format.
     *
     * @param units the units, the largest first
     * @param maximum the largest amount allowed, in the smallest unit
     */
    private QuantityFormat(List<Unit> units, long maximum) {
        this.units = List.copyOf(units);
        this.maximum = maximum;
    }

    /**
     * Creates a format of durations in milliseconds.
     *
     * @return the format
     */
    static QuantityFormat time() {
        return new QuantityFormat(
                List.of(
                        new Unit("d", MILLIS_PER_DAY),
                        new Unit("h", MILLIS_PER_HOUR),
                        new Unit("m", MILLIS_PER_MINUTE),
                        new Unit("s", MILLIS_PER_SECOND),
                        new Unit("ms", 1)),
                MAXIMUM_TIME_MILLIS);
    }

    /**
     * Creates a format of memory sizes in megabytes.
     *
     * @return the format
     */
    static QuantityFormat memory() {
        return new QuantityFormat(
                List.of(new Unit("GB", MEGABYTES_PER_GIGABYTE), new Unit("MB", 1)),
                MAXIMUM_MEMORY_MEGABYTES);
    }

    @Override
    public Long parse(String text) {
        Matcher matcher = QUANTITY_PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text);
        }
        long amount = Long.parseLong(matcher.group(1));
        for (Unit unit : units) {
            if (unit.name.equals(matcher.group(2)) && amount <= maximum / unit.size) {
                return amount * unit.size;
            }
        }
        throw new IllegalArgumentException(text);
    }

    @Override
    public String format(Long value) {
        for (Unit unit : units) {
            if (value % unit.size == 0) {
                return value / unit.size + unit.name;
            }
        }
        throw new IllegalStateException("the smallest unit divides every amount");
    }

    @Override
    public String allowed() {
        Unit largest = units.get(0);
        return "a whole amount with a unit of "
                + units.stream().map(Unit::name).toList()
                + ", at most "
                + maximum / largest.size
                + largest.name;
    }

    /**
     * Holds a unit of an amount.
     *
     * @param name the symbol that follows the amount
     * @param size the size of the unit, in the smallest unit
     */
    private record Unit(String name, long size) {}
}
