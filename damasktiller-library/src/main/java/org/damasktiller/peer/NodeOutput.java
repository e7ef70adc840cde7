package org.damasktiller.peer;

import java.util.List;
import org.damasktiller.membership.MembershipAction;

/**
 * Holds what the driver of a node has to do, and what it may note, in order.
 *
 * @param gossip datagrams to send and changes of the membership
 * @param peer messages to send and changes of the table
 */
public record NodeOutput(List<MembershipAction> gossip, List<PeerAction> peer) {}
