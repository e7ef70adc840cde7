package org.damasktiller.node.intake;

/** What the body or the incomplete head of one request holds of the memory for requests. */
abstract class IntakeHolding {

    /** The memory that is held, in bytes. */
    private long bytes;

    /**
     * Returns the memory that is held.
     *
     * @return the size, in bytes
     */
    final long bytes() {
        return bytes;
    }

    /**
     * Returns the part of the memory that counts as used by large bodies.
     *
     * @return the size, in bytes, 0 if the body is small
     */
    final long largeBytes() {
        return largePart(bytes);
    }

    /**
     * Sets the memory that is held.
     *
     * @param value the size, in bytes
     */
    final void setBytes(long value) {
        bytes = value;
    }

    /**
     * Returns the part of a size that counts as used by large bodies.
     *
     * @param size the size, in bytes
     * @return the size, or 0 if it is that of a small body
     */
    static long largePart(long size) {
        return size > IntakeLimits.SMALL_BODY_BYTES ? size : 0;
    }

    /**
     * Returns when the last part arrived.
     *
     * @return the time on the monotonic clock, in milliseconds
     */
    abstract long lastProgressMillis();

    /**
     * Returns when the end has to have arrived.
     *
     * @return the time on the monotonic clock, in milliseconds
     */
    abstract long dueMillis();

    /**
     * Stops reading. The request is refused, or its connection is closed.
     *
     * @param rejection the reason
     */
    abstract void giveUp(BodyRejection rejection);

    /** Closes the connection on which the rest arrives. */
    abstract void closeConnection();
}
