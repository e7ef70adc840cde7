package org.damasktiller.standin.store;

/**
 * Describes how the stand-in key-value service misbehaves.
 *
 * @param down whether calls fail without taking effect
 * @param losesAnswers whether calls take effect but their answers are lost
 * @param delayMillis how long each answer is held back, in milliseconds
 */
public record StoreFaults(boolean down, boolean losesAnswers, long delayMillis) {

    /** The service without faults. */
    public static final StoreFaults NONE = new StoreFaults(false, false, 0);

    /** The service that does not take calls. */
    public static final StoreFaults DOWN = new StoreFaults(true, false, 0);

    /** The service that carries out calls and loses the answers. */
    public static final StoreFaults LOST_ANSWERS = new StoreFaults(false, true, 0);
}
