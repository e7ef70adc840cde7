package org.damasktiller.decision.fairshare;

/**
 * Bounds the wait of jobs whose kind is rarely chosen. Aged jobs receive only a fixed part of the
 * choices, so that aging does not change the shares much.
 *
 * @param waitMillis the wait after which a job is aged, in milliseconds
 * @param choiceInterval one choice in this many goes to the longest waiting aged job, at least 2
 */
public record AgingRule(long waitMillis, int choiceInterval) {

    /** The rule for ordinary use: ten minutes, one choice in fifty. */
    public static final AgingRule ORDINARY = new AgingRule(600_000, 50);

    /** Checks the interval. */
    public AgingRule {
        if (choiceInterval < 2) {
            throw new IllegalArgumentException("choiceInterval must be at least 2");
        }
    }
}
