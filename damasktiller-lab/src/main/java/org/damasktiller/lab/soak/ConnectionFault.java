package org.damasktiller.lab.soak;

import org.damasktiller.lab.link.FaultyLink;

/**
 * Breaks connections of a link: closes the open ones, stalls them permanently, or refuses
 * connections until the fault ends.
 */
final class ConnectionFault implements Fault {

    /** The affected link. */
    private final FaultyLink link;

    /** The name of the link in the report. */
    private final String name;

    /** How connections break. */
    private final Mode mode;

    /**
     * Creates a fault.
     *
     * @param link the affected link
     * @param name the name of the link in the report
     * @param mode how connections break
     */
    ConnectionFault(FaultyLink link, String name, Mode mode) {
        this.link = link;
        this.name = name;
        this.mode = mode;
    }

    @Override
    public void begin() {
        switch (mode) {
            case RESET -> link.closeConnections();
            case SILENCE -> link.stallConnections();
            default -> link.setRefusing(true);
        }
    }

    @Override
    public void end() {
        link.setRefusing(false);
    }

    @Override
    public String describe() {
        return name + " " + mode;
    }

    /** How connections break. The constants appear by name in the report. */
    enum Mode {
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
