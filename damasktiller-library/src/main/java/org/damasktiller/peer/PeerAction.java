package org.damasktiller.peer;

import org.damasktiller.identity.VmId;
import org.damasktiller.table.OperatorTable;

/** Tells what the driver of the spread has to do. */
public sealed interface PeerAction {

    /**
     * Asks to send a message over a connection; it may be lost if the connection fails.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(VmId to, PeerMessage message) implements PeerAction {}

    /**
     * Tells that a table is in force on this member from now on.
     *
     * @param table the table, of a higher version than any before
     */
    record Adopted(OperatorTable table) implements PeerAction {}

    /**
     * Asks to mark an endpoint in the membership of this zone.
     *
     * @param mark the mark
     */
    record Mark(EndpointMark mark) implements PeerAction {}

    /**
     * Asks to write a table back to the store, which came back with an older one.
     *
     * @param table the table in force
     */
    record RepairStore(OperatorTable table) implements PeerAction {}
}
