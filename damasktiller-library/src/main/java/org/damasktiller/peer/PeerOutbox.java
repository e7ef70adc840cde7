package org.damasktiller.peer;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.identity.VmId;

/** Collects what is to be done during one call. */
final class PeerOutbox {

    /** What is to be done. */
    private List<PeerAction> actions = new ArrayList<>();

    /** Creates an empty outbox. */
    PeerOutbox() {}

    /**
     * Adds an action.
     *
     * @param action the action
     */
    void add(PeerAction action) {
        actions.add(action);
    }

    /**
     * Asks to send a message.
     *
     * @param to the receiver
     * @param message the message
     */
    void send(VmId to, PeerMessage message) {
        add(new PeerAction.Send(to, message));
    }

    /**
     * Takes the actions.
     *
     * @return the actions of this call
     */
    List<PeerAction> take() {
        List<PeerAction> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
