package org.damasktiller.lab.soak;

/** A fault that begins and ends. Several may be active at once, also of the same kind. */
interface Fault {

    /** Begins the fault. */
    void begin();

    /** Ends the fault. */
    void end();

    /**
     * Describes the fault for the report.
     *
     * @return what is done to what
     */
    String describe();
}
