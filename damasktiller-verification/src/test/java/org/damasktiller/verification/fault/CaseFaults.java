package org.damasktiller.verification.fault;

import java.util.LinkedHashMap;
import java.util.Map;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.FaultInjector;

/** Injects the faults of one case and counts the occurrences of each step. */
final class CaseFaults implements FaultInjector {

    private final FaultCase faultCase;

    private final Map<String, Integer> occurrences = new LinkedHashMap<>();

    private int callsSinceFirst = -1;

    CaseFaults(FaultCase faultCase) {
        this.faultCase = faultCase;
    }

    @Override
    public CallFault faultAt(int owner, CellAction call) {
        String step = StepNames.of(call);
        int occurrence = occurrences.merge(step, 1, Integer::sum);
        if (callsSinceFirst >= 0) {
            callsSinceFirst++;
            return callsSinceFirst == faultCase.callsBetween()
                    ? faultCase.secondFault()
                    : CallFault.NONE;
        }
        if (step.equals(faultCase.step()) && occurrence == faultCase.occurrence()) {
            callsSinceFirst = 0;
            return faultCase.fault();
        }
        return CallFault.NONE;
    }

    boolean reached() {
        return callsSinceFirst >= 0;
    }

    Map<String, Integer> occurrences() {
        return Map.copyOf(occurrences);
    }
}
