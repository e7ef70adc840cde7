package org.damasktiller.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import org.damasktiller.identity.VmId;
import org.jspecify.annotations.Nullable;

/** Goes through all members in rounds, in a new random order each round. */
final class ProbeOrder {

    /** The source of the orders. */
    private final RandomGenerator random;

    /** The members left in this round. */
    private final List<VmId> round = new ArrayList<>();

    /**
     * Creates an order.
     *
     * @param random the source of the orders
     */
    ProbeOrder(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the next member to probe.
     *
     * @param members the members that may be probed
     * @return the member, or null if there is none
     */
    @Nullable VmId next(List<VmId> members) {
        if (members.isEmpty()) {
            return null;
        }
        while (true) {
            if (round.isEmpty()) {
                round.addAll(shuffled(members));
            }
            VmId candidate = round.remove(round.size() - 1);
            if (members.contains(candidate)) {
                return candidate;
            }
        }
    }

    /**
     * Chooses some members at random.
     *
     * @param members the members to choose from
     * @param count how many at most
     * @return the members chosen
     */
    List<VmId> some(List<VmId> members, int count) {
        List<VmId> shuffled = shuffled(members);
        return shuffled.subList(0, Math.min(count, shuffled.size()));
    }

    /**
     * Puts members into a random order.
     *
     * @param members the members
     * @return the members in a random order
     */
    private List<VmId> shuffled(List<VmId> members) {
        List<VmId> shuffled = new ArrayList<>(members);
        for (int index = shuffled.size(); index > 1; index--) {
            Collections.swap(shuffled, index - 1, random.nextInt(index));
        }
        return shuffled;
    }
}
