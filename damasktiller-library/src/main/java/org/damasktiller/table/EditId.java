package org.damasktiller.table;

import java.util.regex.Pattern;

/**
 * Identifies one edit of the table, which makes retries of the edit idempotent.
 *
 * @param value 1 to 64 letters, digits and hyphens
 */
public record EditId(String value) {

    /** The permitted characters and length; the ID becomes part of a key in the store. */
    private static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9-]{1,64}");

    /** Checks the characters and the length. */
    public EditId {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "an edit ID must consist of 1 to 64 letters, digits or hyphens");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
