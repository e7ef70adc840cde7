package org.damasktiller.identity;

/** Validates the text of names for the constructors of this package. */
final class Names {

    /** Prevents instantiation. */
    private Names() {}

    /**
     * Rejects a blank name.
     *
     * @param value the text of the name
     * @param type the name of the record type, for the message
     * @throws IllegalArgumentException if the text is blank
     */
    static void requireNonBlank(String value, String type) {
        if (value.isBlank()) {
            throw new IllegalArgumentException(type + " must not be blank");
        }
    }
}
