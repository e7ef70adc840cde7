package org.damasktiller.table;

import java.util.regex.Pattern;

/**
 * Identifies one edit of the table, so that an edit sent twice takes effect once.
 *
 * @param value 1 to 64 letters, digits and hyphens
 */
public record EditId(String value) {

    /** The shape of an identity, which becomes part of a key in the store. */
    private static final Pattern SHAPE = Pattern.compile("[A-Za-z0-9-]{1,64}");

    /** Checks the shape. */
    public EditId {
        if (!SHAPE.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "an edit identity has 1 to 64 letters, digits and hyphens");
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
