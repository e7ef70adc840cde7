package org.damasktiller.routing.share;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.damasktiller.identity.EndpointId;

/** Keeps what one member may hold at most, as the ledger knows it. */
final class MemberShares {

    /** The grants that the member may still be using, in the order of their numbers. */
    private final ArrayDeque<Granted> grants = new ArrayDeque<>();

    /** What the member reported to hold. */
    private Map<EndpointId, Integer> reported = Map.of();

    /** Until when the report counts, in milliseconds. */
    private long reportedUntilMillis = Long.MIN_VALUE;

    /** What the member wants. */
    private Map<EndpointId, Integer> wanted = Map.of();

    /** The sequence of the latest request. */
    private long sequence = -1;

    /** When the member counts as gone, in milliseconds. */
    private long aliveUntilMillis = Long.MIN_VALUE;

    /** Creates the shares of a member that holds nothing. */
    MemberShares() {}

    /**
     * Takes in a request.
     *
     * @param request the request
     * @param generation the generation of the ledger
     * @param aliveMillis until when the member counts as present, in milliseconds
     * @param heldMillis until when what it reports may be in use, in milliseconds
     * @return whether the request was newer than all others
     */
    boolean take(ShareRequest request, long generation, long aliveMillis, long heldMillis) {
        if (request.sequence() <= sequence) {
            return false;
        }
        sequence = request.sequence();
        if (request.generation() == generation) {
            while (!grants.isEmpty() && grants.peekFirst().number() < request.grantSeen()) {
                grants.removeFirst();
            }
        }
        Map<EndpointId, Integer> holds = new HashMap<>();
        Map<EndpointId, Integer> wants = new HashMap<>();
        for (ShareWish wish : request.wishes()) {
            holds.put(wish.endpoint(), wish.held());
            wants.put(wish.endpoint(), wish.wanted());
        }
        reported = holds;
        wanted = wants;
        reportedUntilMillis = heldMillis;
        aliveUntilMillis = aliveMillis;
        return true;
    }

    /**
     * Notes a grant.
     *
     * @param number the number of the grant
     * @param slots the slots by endpoint
     * @param untilMillis until when they may be in use, in milliseconds
     */
    void granted(long number, Map<EndpointId, Integer> slots, long untilMillis) {
        grants.addLast(new Granted(number, slots, untilMillis));
    }

    /**
     * Returns how many slots of an endpoint the member may be using at most.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of slots
     */
    int bound(EndpointId endpoint, long nowMillis) {
        int bound = nowMillis < reportedUntilMillis ? reported.getOrDefault(endpoint, 0) : 0;
        for (Granted grant : grants) {
            if (nowMillis < grant.untilMillis()) {
                bound = Math.max(bound, grant.slots().getOrDefault(endpoint, 0));
            }
        }
        return bound;
    }

    /**
     * Returns how many slots of an endpoint the member wants.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of slots, zero if the member is gone
     */
    int wanted(EndpointId endpoint, long nowMillis) {
        return nowMillis < aliveUntilMillis ? wanted.getOrDefault(endpoint, 0) : 0;
    }

    /**
     * Tells whether the member is gone and nothing of it can be in use any more.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it can be forgotten
     */
    boolean forgettable(long nowMillis) {
        grants.removeIf(grant -> nowMillis >= grant.untilMillis());
        return grants.isEmpty()
                && nowMillis >= reportedUntilMillis
                && nowMillis >= aliveUntilMillis;
    }

    /**
     * One grant that the member may be using.
     *
     * @param number the number of the grant
     * @param slots the slots by endpoint
     * @param untilMillis until when they may be in use, in milliseconds
     */
    private record Granted(long number, Map<EndpointId, Integer> slots, long untilMillis) {}
}
