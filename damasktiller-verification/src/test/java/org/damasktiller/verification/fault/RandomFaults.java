package org.damasktiller.verification.fault;

import java.util.Random;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.FaultInjector;

/** Injects a few random faults at random calls, all drawn from one seed. */
final class RandomFaults implements FaultInjector {

    private final Random random;

    private final int oneIn;

    private int left;

    RandomFaults(long seed, int faults, int oneIn) {
        this.random = new Random(seed);
        this.left = faults;
        this.oneIn = oneIn;
    }

    @Override
    public CallFault faultAt(int owner, CellAction call) {
        if (left == 0 || random.nextInt(oneIn) != 0) {
            return CallFault.NONE;
        }
        left--;
        CallFault[] faults = CallFault.values();
        return faults[1 + random.nextInt(faults.length - 1)];
    }
}
