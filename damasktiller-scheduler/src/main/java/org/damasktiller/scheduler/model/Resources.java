package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An amount of processors, memory and accelerators.
 *
 * @param cpuMillicores processors, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators whole accelerators
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Resources(long cpuMillicores, long memoryMb, long accelerators) {

    /** Nothing. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Adds an amount.
     *
     * @param other the amount
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillicores + other.cpuMillicores,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts an amount.
     *
     * @param other the amount
     * @return the difference, negative where the other amount is larger
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillicores - other.cpuMillicores,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /**
     * Tells whether this amount covers another in each dimension.
     *
     * @param other the other amount
     * @return whether it does
     */
    public boolean covers(Resources other) {
        return cpuMillicores >= other.cpuMillicores
                && memoryMb >= other.memoryMb
                && accelerators >= other.accelerators;
    }
}
