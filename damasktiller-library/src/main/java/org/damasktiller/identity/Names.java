package org.damasktiller.identity;

/** Checks the text of names. */
final class Names {

    /** Prevents instantiation. */
    private Names() {}

    /**
     * Requires that a name has text.
     *
     * @param value the text of the name
     * @param type the type of name, for the message
     * @throws IllegalArgumentException if the text is blank
     */
    static void requireNonBlank(String value, String type) {
        if (value.isBlank()) {
            throw new IllegalArgumentException(type + " must not be blank");
        }
    }
}
