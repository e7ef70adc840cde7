package org.damasktiller.routing.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.damasktiller.routing.EndpointAllowance;
import org.damasktiller.routing.EndpointDescription;

/**
 * Holds the shares of one entry VM: a fixed part that needs no message, and what the ledger granted
 * until its lease lapses. The lease counts from the sending of the request, so that the clocks of
 * the VMs need not agree. Connections are shared in the proportion of slots.
 */
public final class ShareHolder implements EndpointAllowance {

    /** How many requests without an answer are remembered. */
    private static final int REMEMBERED_REQUESTS = 16;

    /** When the latest requests were sent, in milliseconds, by sequence. */
    private final LinkedHashMap<Long, Long> sentMillis = new LinkedHashMap<>();

    /** The settings. */
    private final ShareSettings settings;

    /** The entry VM. */
    private final VmId member;

    /** The slots granted, by endpoint. */
    private Map<EndpointId, Integer> granted = Map.of();

    /** Until when the grant holds, in milliseconds. */
    private long grantedUntilMillis = Long.MIN_VALUE;

    /** The place of this VM among those that use the endpoints, from zero. */
    private int rank;

    /** The sequence of the latest request. */
    private long sequence;

    /** The generation of the latest grant. */
    private long generation;

    /** The number of the latest grant. */
    private long grantSeen;

    /**
     * Creates a holder with its fixed part only.
     *
     * @param settings the settings
     * @param member the entry VM
     * @param rank its place among the VMs that use the endpoints, from zero; a place is taken over
     *     only after the grace of the settings
     * @param firstSequence above the sequence of any earlier request of the same name, such as the
     *     time of the start
     */
    public ShareHolder(ShareSettings settings, VmId member, int rank, long firstSequence) {
        this.settings = settings;
        this.member = member;
        this.rank = rank;
        this.sequence = firstSequence;
    }

    /**
     * Changes the place of this VM. A VM beyond the limit of members has no fixed part.
     *
     * @param value the place, from zero
     */
    public void rank(int value) {
        rank = value;
    }

    /**
     * Makes the next request to the ledger, which also acknowledges the latest grant.
     *
     * @param endpoints the endpoints
     * @param used how many slots of an endpoint are in use
     * @param wanted how many slots of an endpoint could be used
     * @param nowMillis the time, in milliseconds
     * @return the request
     */
    public ShareRequest nextRequest(
            Collection<EndpointDescription> endpoints,
            ToIntFunction<EndpointId> used,
            ToIntFunction<EndpointId> wanted,
            long nowMillis) {
        List<ShareWish> wishes = new ArrayList<>();
        for (EndpointDescription endpoint : endpoints) {
            int fixed = fixed(endpoint);
            int held =
                    Math.max(
                            leased(endpoint.id(), nowMillis),
                            used.applyAsInt(endpoint.id()) - fixed);
            int wish = Math.max(0, wanted.applyAsInt(endpoint.id()) - fixed);
            wishes.add(new ShareWish(endpoint.id(), Math.max(0, held), wish));
        }
        sequence++;
        sentMillis.put(sequence, nowMillis);
        if (sentMillis.size() > REMEMBERED_REQUESTS) {
            sentMillis.remove(sentMillis.keySet().iterator().next());
        }
        return new ShareRequest(member, sequence, generation, grantSeen, wishes);
    }

    /**
     * Applies a grant, unless it is older than the latest one or answers a forgotten request.
     *
     * @param grant the grant
     * @return whether it was applied
     */
    public boolean apply(ShareGrant grant) {
        Long sent = sentMillis.get(grant.sequence());
        boolean newer =
                grant.generation() > generation
                        || (grant.generation() == generation && grant.number() > grantSeen);
        if (sent == null || !newer || !grant.member().equals(member)) {
            return false;
        }
        generation = grant.generation();
        grantSeen = grant.number();
        Map<EndpointId, Integer> slots = new HashMap<>();
        grant.amounts().forEach(amount -> slots.put(amount.endpoint(), amount.slots()));
        granted = slots;
        grantedUntilMillis = sent + grant.durationMillis();
        return true;
    }

    @Override
    public int slots(EndpointDescription endpoint, long nowMillis) {
        return fixed(endpoint) + leased(endpoint.id(), nowMillis);
    }

    @Override
    public int connections(EndpointDescription endpoint, long nowMillis) {
        int perSlot = endpoint.connections() / settings.usableSlots(endpoint);
        return slots(endpoint, nowMillis) * perSlot;
    }

    /**
     * Returns the slots that need no grant.
     *
     * @param endpoint the endpoint
     * @return the number of slots
     */
    private int fixed(EndpointDescription endpoint) {
        return rank < settings.memberLimit() ? settings.floor(endpoint) : 0;
    }

    /**
     * Returns the slots granted.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of slots, zero once the lease lapsed
     */
    private int leased(EndpointId endpoint, long nowMillis) {
        return nowMillis < grantedUntilMillis ? granted.getOrDefault(endpoint, 0) : 0;
    }
}
