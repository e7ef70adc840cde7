package org.damasktiller.scheduler.crash;

/**
 * The start of a run that may crash its worker. It is stored before its outcome is known, so that a
 * successor of the owner can tell whether the worker has crashed under it.
 *
 * @param worker the identifier of the worker
 * @param address the network address of the worker
 * @param bootUnixMillis when the worker booted, in milliseconds since 1970, or 0 if that is not
 *     known
 * @param sent whether the start request was certainly sent; an owner may have ended before that
 * @param active whether the run was active for long enough to show that its start did not crash the
 *     worker; false in a record of an earlier release
 * @param generation the generation of the owner that has written the record; 0 in a record of an
 *     earlier release
 */
public record RecordedStart(
        String worker,
        String address,
        long bootUnixMillis,
        boolean sent,
        boolean active,
        long generation) {

    /**
     * Returns the record after the start request was sent.
     *
     * @return the new record
     */
    public RecordedStart asSent() {
        return new RecordedStart(worker, address, bootUnixMillis, true, active, generation);
    }

    /**
     * Returns the record after the run has been active for some time.
     *
     * @return the new record
     */
    public RecordedStart asActive() {
        return new RecordedStart(worker, address, bootUnixMillis, true, true, generation);
    }

    /**
     * Returns how the task is involved if the worker has crashed.
     *
     * @param history the earlier crashes of the task
     * @return the role; what else ran on the worker is not known
     */
    public CrashRole roleInCrash(CrashHistory history) {
        if (history.mayShareWorker()) {
            return CrashRole.UNCERTAIN;
        }
        return active && !history.isSuspect() ? CrashRole.BYSTANDER : CrashRole.CANDIDATE;
    }
}
