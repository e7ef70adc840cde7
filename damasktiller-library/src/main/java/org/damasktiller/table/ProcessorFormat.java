package org.damasktiller.table;

import java.math.BigDecimal;
import java.util.regex.Pattern;

/** Converts numbers of processors, such as {@code 0.5} or {@code 500m}, to thousandths. */
final class ProcessorFormat implements CellFormat<Long> {

    /** The number of thousandths in one processor. */
    private static final int THOUSANDTHS_PER_PROCESSOR = 1000;

    /** The largest amount allowed, in thousandths of a processor. */
    private static final long MAXIMUM_THOUSANDTHS = 1024L * THOUSANDTHS_PER_PROCESSOR;

    /** Matches thousandths of a processor, such as {@code 500m}. */
    private static final Pattern THOUSANDTHS_PATTERN = Pattern.compile("[0-9]{1,7}m");

    /** Matches processors with up to three decimals, such as {@code 0.5}. */
    private static final Pattern DECIMAL_PATTERN = Pattern.compile("[0-9]{1,4}(\\.[0-9]{1,3})?");

    /** Creates a format. */
    ProcessorFormat() {}

    @Override
    public Long parse(String text) {
        long value;
        if (THOUSANDTHS_PATTERN.matcher(text).matches()) {
            value = Long.parseLong(text.substring(0, text.length() - 1));
        } else if (DECIMAL_PATTERN.matcher(text).matches()) {
            value =
                    new BigDecimal(text)
                            .multiply(BigDecimal.valueOf(THOUSANDTHS_PER_PROCESSOR))
                            .longValueExact();
        } else {
            throw new IllegalArgumentException(text);
        }
        if (value > MAXIMUM_THOUSANDTHS) {
            throw new IllegalArgumentException(text);
        }
        return value;
    }

    @Override
    public String format(Long value) {
        return value % THOUSANDTHS_PER_PROCESSOR == 0
                ? Long.toString(value / THOUSANDTHS_PER_PROCESSOR)
                : value + "m";
    }

    @Override
    public String allowed() {
        return "processors like 0.5 or 500m, at most "
                + MAXIMUM_THOUSANDTHS / THOUSANDTHS_PER_PROCESSOR;
    }
}
