package org.damasktiller.daemon.peer;

import java.util.List;
import java.util.function.Consumer;
import org.damasktiller.identity.VmId;
import org.damasktiller.peer.EndpointMark;
import org.damasktiller.table.OperatorTable;

/**
 * Holds who is told of changes at a node.
 *
 * @param table told of each table that comes into force
 * @param members told of the live members after each change
 * @param endpoint told of each mark of an endpoint
 */
record PeerListeners(
        Consumer<OperatorTable> table,
        Consumer<List<VmId>> members,
        Consumer<EndpointMark> endpoint) {}
