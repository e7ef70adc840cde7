package org.damasktiller.membership;

/** Tells what a datagram asks for. */
public enum GossipType {
    /** Asks for an answer; carries the address of the asker's origin if it is sent for another. */
    PING,
    /** Answers a ping. */
    ACK,
    /** Asks the receiver to ping a third member. */
    PING_REQUEST,
    /** Asks for the members known; sent on joining and to find members again after a partition. */
    JOIN,
    /** Tells members known, and asks for the same. */
    SYNC,
    /** Answers a sync or join with members known. */
    SYNC_REPLY,
    /** Passes on news. */
    RUMOR
}
