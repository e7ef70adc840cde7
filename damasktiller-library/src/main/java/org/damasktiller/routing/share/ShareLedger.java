package org.damasktiller.routing.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.damasktiller.routing.EndpointDescription;

/**
 * Splits the slots of endpoints among entry VMs. One entry VM keeps the ledger, under an ownership
 * with a rising generation in the key-value service. What is granted never exceeds an endpoint's
 * slots: a share grows only by what all others have given back, by an acknowledged smaller grant or
 * by the lapse of their lease and its grace. A new ledger grants nothing until everything that an
 * earlier one granted has lapsed. Each member has a fixed part besides, which needs no ledger.
 */
public final class ShareLedger {

    /** The members. */
    private final Map<VmId, MemberShares> members = new TreeMap<>();

    /** The endpoints. */
    private final Map<EndpointId, EndpointDescription> endpoints = new HashMap<>();

    /** The settings. */
    private final ShareSettings settings;

    /** The generation of the ownership. */
    private final long generation;

    /** When the ledger may begin to grant, in milliseconds. */
    private final long opensMillis;

    /** The number of the latest grant. */
    private long lastGrant;

    /**
     * Creates a ledger.
     *
     * @param settings the settings
     * @param generation the generation of the ownership, above that of all earlier ledgers
     * @param ownedSinceMillis when the ownership was obtained, in milliseconds
     */
    public ShareLedger(ShareSettings settings, long generation, long ownedSinceMillis) {
        this.settings = settings;
        this.generation = generation;
        this.opensMillis = ownedSinceMillis + settings.leaseMillis() + settings.graceMillis();
    }

    /**
     * Replaces the list of endpoints.
     *
     * @param listed the endpoints
     */
    public void replaceEndpoints(Collection<EndpointDescription> listed) {
        endpoints.clear();
        listed.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
    }

    /**
     * Answers a request.
     *
     * @param request the request
     * @param ownedUntilMillis until when the ownership is certain, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return the grant, or empty if the request is outdated or the ownership is over
     */
    public Optional<ShareGrant> request(
            ShareRequest request, long ownedUntilMillis, long nowMillis) {
        long duration = Math.min(settings.leaseMillis(), ownedUntilMillis - nowMillis);
        if (duration <= 0) {
            return Optional.empty();
        }
        members.values().removeIf(member -> member.forgettable(nowMillis));
        MemberShares member = members.computeIfAbsent(request.member(), any -> new MemberShares());
        long lapseMillis = nowMillis + settings.leaseMillis() + settings.graceMillis();
        long aliveMillis = nowMillis + settings.leaseMillis();
        if (!member.take(request, generation, aliveMillis, lapseMillis)) {
            return Optional.empty();
        }
        Map<EndpointId, Integer> slots = new HashMap<>();
        for (ShareWish wish : request.wishes()) {
            EndpointDescription endpoint = endpoints.get(wish.endpoint());
            if (endpoint != null && nowMillis >= opensMillis) {
                slots.put(endpoint.id(), amount(endpoint, request.member(), nowMillis));
            }
        }
        lastGrant++;
        member.granted(lastGrant, slots, lapseMillis);
        return Optional.of(
                new ShareGrant(
                        request.member(),
                        request.sequence(),
                        generation,
                        lastGrant,
                        duration,
                        amounts(slots)));
    }

    /**
     * Computes a member's share: its fair part, within what the others leave.
     *
     * @param endpoint the endpoint
     * @param member the member
     * @param nowMillis the time, in milliseconds
     * @return the number of slots
     */
    private int amount(EndpointDescription endpoint, VmId member, long nowMillis) {
        int free = settings.pool(endpoint);
        for (Map.Entry<VmId, MemberShares> entry : members.entrySet()) {
            if (!entry.getKey().equals(member)) {
                free -= entry.getValue().bound(endpoint.id(), nowMillis);
            }
        }
        return Math.max(0, Math.min(free, fairPart(endpoint, member, nowMillis)));
    }

    /**
     * Computes a member's fair part: slots are dealt one by one, in the order of the members, to
     * those that want more.
     *
     * @param endpoint the endpoint
     * @param member the member
     * @param nowMillis the time, in milliseconds
     * @return the number of slots
     */
    private int fairPart(EndpointDescription endpoint, VmId member, long nowMillis) {
        int left = settings.pool(endpoint);
        int part = 0;
        for (int round = 1; left > 0; round++) {
            boolean dealt = false;
            for (Map.Entry<VmId, MemberShares> entry : members.entrySet()) {
                if (left > 0 && entry.getValue().wanted(endpoint.id(), nowMillis) >= round) {
                    left--;
                    dealt = true;
                    part += entry.getKey().equals(member) ? 1 : 0;
                }
            }
            if (!dealt) {
                return part;
            }
        }
        return part;
    }

    /**
     * Lists the slots above zero.
     *
     * @param slots the slots by endpoint
     * @return the amounts
     */
    private static List<ShareAmount> amounts(Map<EndpointId, Integer> slots) {
        List<ShareAmount> amounts = new ArrayList<>();
        slots.forEach(
                (endpoint, count) -> {
                    if (count > 0) {
                        amounts.add(new ShareAmount(endpoint, count));
                    }
                });
        return amounts;
    }
}
