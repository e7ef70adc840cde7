package org.damasktiller.table;

/** Converts booleans, which are written {@code yes} and {@code no}. */
final class FlagFormat implements CellFormat<Boolean> {

    /** The text for true. */
    private static final String YES = "yes";

    /** The text for false. */
    private static final String NO = "no";

    /** Creates a format. */
    FlagFormat() {}

    @Override
    public Boolean parse(String text) {
        if (!text.equals(YES) && !text.equals(NO)) {
            throw new IllegalArgumentException(text);
        }
        return text.equals(YES);
    }

    @Override
    public String format(Boolean value) {
        return value ? YES : NO;
    }

    @Override
    public String allowed() {
        return YES + " or " + NO;
    }
}
