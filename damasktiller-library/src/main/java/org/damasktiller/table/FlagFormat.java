package org.damasktiller.table;

/** Converts {@code yes} and {@code no}. */
final class FlagFormat implements CellFormat<Boolean> {

    /** The text of true. */
    private static final String YES = "yes";

    /** The text of false. */
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
