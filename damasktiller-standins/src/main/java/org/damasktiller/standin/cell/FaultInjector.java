package org.damasktiller.standin.cell;

import org.damasktiller.authority.cell.CellAction;

/** Chooses what goes wrong at each call. */
public interface FaultInjector {

    /**
     * Chooses the fault of one call.
     *
     * @param owner the number of the owner's process
     * @param call a store request or a worker request
     * @return the fault
     */
    CallFault faultAt(int owner, CellAction call);
}
