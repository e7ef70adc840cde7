package org.damasktiller.authority.cell;

/**
 * Tells how the jobs of a kind of work share a cell with others.
 *
 * @param weight the share in relation to other kinds of the same class, above zero
 * @param kindLimit how many jobs of the kind may run in the cell at once, {@link #NO_LIMIT} for any
 * @param tenantLimit how many jobs of the tenant may run in the cell at once, {@link #NO_LIMIT} for
 *     any
 */
public record StartRule(int weight, int kindLimit, int tenantLimit) {

    /** The limit that allows any number. */
    public static final int NO_LIMIT = Integer.MAX_VALUE;

    /** The rule of a kind with neither weight nor limits. */
    public static final StartRule EVEN = new StartRule(1, NO_LIMIT, NO_LIMIT);

    /** Checks that the weight is above zero and no limit is negative. */
    public StartRule {
        if (weight < 1 || kindLimit < 0 || tenantLimit < 0) {
            throw new IllegalArgumentException("a weight is above zero, a limit not below");
        }
    }
}
