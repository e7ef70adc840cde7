package org.damasktiller.lab.soak;

import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.lab.link.LinkState;

/** Slows a link or holds back what crosses it, one way or both. */
final class LinkFault implements Fault {

    /** The link. */
    private final FaultyLink link;

    /** The name of the link. */
    private final String name;

    /** What the link does. */
    private final LinkState state;

    /** The delay of a slow link, in milliseconds. */
    private final long delayMillis;

    /**
     * Creates a fault.
     *
     * @param link the link
     * @param name the name of the link
     * @param state what the link does
     * @param delayMillis the delay of a slow link, in milliseconds
     */
    LinkFault(FaultyLink link, String name, LinkState state, long delayMillis) {
        this.link = link;
        this.name = name;
        this.state = state;
        this.delayMillis = delayMillis;
    }

    @Override
    public void begin() {
        link.set(state, delayMillis);
    }

    @Override
    public void end() {
        link.set(LinkState.OPEN, 0);
    }

    @Override
    public String describe() {
        return name + " " + state + (state == LinkState.SLOW ? " " + delayMillis + " ms" : "");
    }
}
