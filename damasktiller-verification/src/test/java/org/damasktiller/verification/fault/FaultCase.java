package org.damasktiller.verification.fault;

import org.damasktiller.standin.cell.CallFault;

/**
 * One case of the matrix: a fault at one occurrence of a step, and a second fault some calls later.
 * Its text form is {@code step:occurrence:fault:secondFault:callsBetween:seed}.
 */
record FaultCase(
        String step,
        int occurrence,
        CallFault fault,
        CallFault secondFault,
        int callsBetween,
        long seed) {

    static FaultCase parse(String text) {
        String[] parts = text.split(":");
        return new FaultCase(
                parts[0],
                Integer.parseInt(parts[1]),
                CallFault.valueOf(parts[2]),
                CallFault.valueOf(parts[3]),
                Integer.parseInt(parts[4]),
                Long.parseLong(parts[5]));
    }

    @Override
    public String toString() {
        return step
                + ":"
                + occurrence
                + ":"
                + fault
                + ":"
                + secondFault
                + ":"
                + callsBetween
                + ":"
                + seed;
    }
}
