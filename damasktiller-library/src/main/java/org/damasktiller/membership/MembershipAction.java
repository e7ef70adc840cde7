package org.damasktiller.membership;

import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.jspecify.annotations.Nullable;

/** Tells what the driver of the membership has to do. */
public sealed interface MembershipAction {

    /**
     * Asks to send a datagram; it may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(VmId to, GossipMessage message) implements MembershipAction {}

    /**
     * Tells that the knowledge of a member has changed.
     *
     * @param before the knowledge before, or null if the member is new
     * @param after the knowledge now
     */
    record MemberChanged(@Nullable MemberRecord before, MemberRecord after)
            implements MembershipAction {}

    /**
     * Tells that an endpoint must receive no new work, or may again.
     *
     * @param endpoint the endpoint
     * @param stamp orders the marks of one endpoint
     * @param leaving whether it must receive no new work
     */
    record EndpointMarked(EndpointId endpoint, long stamp, boolean leaving)
            implements MembershipAction {}

    /**
     * Tells which version of the table another member has in force.
     *
     * @param member the member
     * @param version the version
     */
    record TableVersionHeard(VmId member, long version) implements MembershipAction {}
}
