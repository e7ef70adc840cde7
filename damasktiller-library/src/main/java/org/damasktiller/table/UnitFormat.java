package org.damasktiller.table;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts whole amounts with a unit, such as {@code 90s} or {@code 2GB}, to the smallest unit. */
final class UnitFormat implements CellFormat<Long> {

    /** The milliseconds in a second. */
    private static final long SECOND = 1000;

    /** The milliseconds in a minute. */
    private static final long MINUTE = 60 * SECOND;

    /** The milliseconds in an hour. */
    private static final long HOUR = 60 * MINUTE;

    /** The milliseconds in a day. */
    private static final long DAY = 24 * HOUR;

    /** The longest time allowed, in milliseconds. */
    private static final long LONGEST_TIME = 30 * DAY;

    /** The megabytes in a gigabyte. */
    private static final long GIGABYTE = 1000;

    /** The largest memory allowed, in megabytes. */
    private static final long LARGEST_MEMORY = 4_000 * GIGABYTE;

    /** Matches an amount, as group 1, and its unit, as group 2. */
    private static final Pattern PATTERN = Pattern.compile("([0-9]{1,12}) ?([A-Za-z]+)");

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
    private UnitFormat(List<Unit> units, long maximum) {
        this.units = List.copyOf(units);
        this.maximum = maximum;
    }

    /**
     * Creates a format of durations in milliseconds.
     *
     * @return the format
     */
    static UnitFormat time() {
        return new UnitFormat(
                List.of(
                        new Unit("d", DAY),
                        new Unit("h", HOUR),
                        new Unit("m", MINUTE),
                        new Unit("s", SECOND),
                        new Unit("ms", 1)),
                LONGEST_TIME);
    }

    /**
     * Creates a format of memory sizes in megabytes.
     *
     * @return the format
     */
    static UnitFormat memory() {
        return new UnitFormat(List.of(new Unit("GB", GIGABYTE), new Unit("MB", 1)), LARGEST_MEMORY);
    }

    @Override
    public Long parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
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
