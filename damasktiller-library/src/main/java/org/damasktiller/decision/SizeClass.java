package org.damasktiller.decision;

/** Groups amounts into 64 classes, four to each doubling, so that an index needs few entries. */
public final class SizeClass {

    /** The number of classes. */
    public static final int COUNT = 64;

    /** The number of classes in each doubling, as a power of two. */
    private static final int STEPS_LOG2 = 2;

    /** The doubling at which the classes begin; smaller amounts share the first class. */
    private static final int FIRST_DOUBLING = 6;

    /** The mask of the class within its doubling. */
    private static final int STEP_MASK = (1 << STEPS_LOG2) - 1;

    /** Prevents instantiation. */
    private SizeClass() {}

    /**
     * Returns the class of an amount. A larger amount is never in a lower class.
     *
     * @param amount the amount, not negative
     * @return the class, from 0 to 63
     */
    public static int of(long amount) {
        int doubling = Long.SIZE - 1 - Long.numberOfLeadingZeros(Math.max(1, amount));
        if (doubling < FIRST_DOUBLING) {
            return 0;
        }
        int step = (int) (amount >>> (doubling - STEPS_LOG2)) & STEP_MASK;
        int index = ((doubling - FIRST_DOUBLING) << STEPS_LOG2) + step + 1;
        return Math.min(COUNT - 1, index);
    }
}
