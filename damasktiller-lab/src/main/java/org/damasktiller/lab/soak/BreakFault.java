package org.damasktiller.lab.soak;

import org.damasktiller.lab.link.FaultyLink;

/** Breaks the connections of a link: reset once, silent for good, or refused for a while. */
final class BreakFault implements Fault {

    /** The link. */
    private final FaultyLink link;

    /** The name of the link. */
    private final String name;

    /** How the connections break. */
    private final Manner manner;

    /**
     * Creates a fault.
     *
     * @param link the link
     * @param name the name of the link
     * @param manner how the connections break
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

    /** How connections break. */
    enum Manner {
        /** Open ones are reset. */
        RESET,
        /** Open ones go silent for good, new ones work. */
        SILENCE,
        /** Open ones are reset and new ones refused. */
        REFUSE
    }
}
