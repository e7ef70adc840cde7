package org.damasktiller.authority.cell;

import org.jspecify.annotations.Nullable;

/**
 * Shows the state of an owner to the handling of a caller's event.
 *
 * @param term the present term, or null if the cell is not owned
 * @param draining whether the entry VM shuts down
 * @param storeFailing whether the store does not answer
 * @param jobNumber a number for a new job, not used before in the term
 * @param holder the identity text of the present owner
 */
record CallerView(
        @Nullable OwnerTerm term,
        boolean draining,
        boolean storeFailing,
        long jobNumber,
        String holder) {}
