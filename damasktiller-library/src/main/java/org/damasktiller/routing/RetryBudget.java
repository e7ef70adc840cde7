package org.damasktiller.routing;

/**
 * Limits second tries to a part of the first tries. It starts empty, so that the second tries never
 * exceed that part from the first request on.
 */
public final class RetryBudget {

    /** What one second try costs, in thousandths of a try. */
    private static final int COST = 1000;

    /** What one first try adds, in thousandths of a try. */
    private final int depositPerMille;

    /** The most that can be saved, in thousandths of a try. */
    private final long capacity;

    /** What is saved, in thousandths of a try. */
    private long balance;

    /**
     * Creates an empty budget.
     *
     * @param depositPerMille how many second tries a thousand first tries allow
     * @param capacityTries how many second tries can be saved
     */
    public RetryBudget(int depositPerMille, int capacityTries) {
        this.depositPerMille = depositPerMille;
        this.capacity = (long) capacityTries * COST;
    }

    /** Notes a first try. */
    public void deposit() {
        balance = Math.min(capacity, balance + depositPerMille);
    }

    /**
     * Takes one second try from the budget.
     *
     * @return whether the budget allowed it
     */
    public boolean withdraw() {
        if (balance < COST) {
            return false;
        }
        balance -= COST;
        return true;
    }
}
