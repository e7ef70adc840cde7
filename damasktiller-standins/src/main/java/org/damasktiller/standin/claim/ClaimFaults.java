package org.damasktiller.standin.claim;

import org.damasktiller.standin.cell.CallFault;

/** Chooses what goes wrong at each call. */
public interface ClaimFaults {

    /**
     * Chooses the fault of one call.
     *
     * @param number the number of the call, from 1
     * @param step the step
     * @return the fault
     */
    CallFault faultAt(int number, ClaimStep step);
}
