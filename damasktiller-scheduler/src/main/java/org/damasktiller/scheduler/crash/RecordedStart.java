package org.damasktiller.scheduler.crash;

/**
 * The start of a run that may crash its worker. It is stored before its outcome is known, so that a
 * successor of the owner can tell whether the worker has crashed.
 *
 * @param worker the identifier of the worker
 * @param address the network address of the worker
 * @param bootUnixMillis when the worker booted, in milliseconds since 1970, or 0 if that is not
 *     known
 * @param sent whether the start request was certainly sent; an owner may have ended before that
 */
public record RecordedStart(String worker, String address, long bootUnixMillis, boolean sent) {

    /**
     * Returns the record after the start request was sent.
     *
     * @return the new record
     */
    public RecordedStart asSent() {
        return new RecordedStart(worker, address, bootUnixMillis, true);
    }
}
