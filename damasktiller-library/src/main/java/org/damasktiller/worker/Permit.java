package org.damasktiller.worker;

/**
 * Holds the authority under which a command is sent. A worker refuses a command from {@code
 * stamp.millis + leaseMillis} on, and a task lease that the command grants ends at that moment.
 *
 * @param generation the generation of the owner that sends the command
 * @param stamp the latest stamp of the worker, read before the owner checked its right to act
 * @param leaseMillis how long the command and its leases last from the stamp on, in milliseconds
 */
public record Permit(long generation, WorkerStamp stamp, long leaseMillis) {

    /**
     * Returns when the permit expires.
     *
     * @return the time on the worker's clock, in milliseconds
     */
    public long expiryMillis() {
        return stamp.millis() + leaseMillis;
    }
}
