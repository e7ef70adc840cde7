package org.damasktiller.lab.soak;

import org.damasktiller.lab.link.FaultyLink;

/**
 * Breaks connections of a link: closes the open ones, stalls them permanently, or refuses
 * connections until the fault ends.
 */
final class BreakFault implements Fault {

    /** The affected link. */
    private final FaultyLink link;

    /** The name of the link in the report. */
    private final String name;

    /** How connections break. */
    private final Manner manner;

    /**
     * Creates a fault.
     *
     * @param link the affected link
     * @param name the name of the link in the report
     * @param manner how connections break
     */
    BreakFault(FaultyLink link, String name, Manner manner) {
        this.link = link;
        this.name = name;
        this.manner = manner;
    }

    @Override
    public void begin() {
        switch (manner) {
            case RESET -> link.reset();
            case SILENCE -> link.silence();
            default -> link.refuse(true);
        }
    }

    @Override
    public void end() {
        link.refuse(false);
    }

    @Override
    public String describe() {
        return name + " " + manner;
    }

    /** How connections break. The constants appear by name in the report. */
    enum Manner {
        /** The open connections are closed once; new ones work. */
        RESET,
        /**
         * The open connections stay open but forward no more bytes, also after the fault; new ones
         * work.
         */
        SILENCE,
        /** The open connections are closed, and new ones are refused until the fault ends. */
        REFUSE
    }
}
