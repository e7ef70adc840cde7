package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * An amount of processor time, memory and accelerators, such as the capacity of a worker or the
 * demand of a task. Stored as JSON under the names of the components.
 *
 * @param cpuMillicores processors, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators the number of accelerators; an accelerator is never shared
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Resources(long cpuMillicores, long memoryMb, long accelerators) {

    /** The empty amount: zero of each resource. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Returns the sum of this amount and another.
     *
     * @param other the amount to add
     * @return the sum of each resource
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillicores + other.cpuMillicores,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /**
     * Returns the difference between this amount and another.
     *
     * @param other the amount to subtract
     * @return the difference of each resource, negative where the other amount is larger
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillicores - other.cpuMillicores,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /**
     * Returns whether another amount fits into this one.
     *
     * @param other the other amount
     * @return true if no resource of the other amount exceeds that of this one
     */
    public boolean covers(Resources other) {
        return cpuMillicores >= other.cpuMillicores
                && memoryMb >= other.memoryMb
                && accelerators >= other.accelerators;
    }
}
