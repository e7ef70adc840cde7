package org.damasktiller.lab.soak;

import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.lab.link.LinkState;

/** Slows a link, or holds its bytes in one or both directions until the fault ends. */
final class LinkFault implements Fault {

    /** The affected link. */
    private final FaultyLink link;

    /** The name of the link in the report. */
    private final String name;

    /** The state of the link while the fault is active. */
    private final LinkState state;

    /** The delay of each chunk of bytes if the state is SLOW, in milliseconds. */
    private final long delayMillis;

    /**
     * Creates a fault.
     *
     * @param link the affected link
     * @param name the name of the link in the report
     * @param state the state of the link while the fault is active
     * @param delayMillis the delay of each chunk of bytes if the state is SLOW, in milliseconds;
     *     unused in other states
     */
    LinkFault(FaultyLink link, String name, LinkState state, long delayMillis) {
        this.link = link;
        this.name = name;
        this.state = state;
        this.delayMillis = delayMillis;
    }

    @Override
    public void begin() {
        link.setState(state, delayMillis);
    }

    @Override
    public void end() {
        link.setState(LinkState.OPEN, 0);
    }

    @Override
    public String describe() {
        return name + " " + state + (state == LinkState.SLOW ? " " + delayMillis + " ms" : "");
    }
}
