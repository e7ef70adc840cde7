package org.damasktiller.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.VmId;

/** Keeps until when each suspected member may refute. */
final class Suspicions {

    /** The suspicions by member. */
    private final Map<VmId, Suspicion> suspicions = new HashMap<>();

    /** Creates an empty set. */
    Suspicions() {}

    /**
     * Starts a suspicion, unless the incarnation is suspected already.
     *
     * @param id the member
     * @param incarnation the incarnation suspected
     * @param deadlineMillis until when it may refute, in milliseconds
     */
    void start(VmId id, long incarnation, long deadlineMillis) {
        Suspicion held = suspicions.get(id);
        if (held == null || held.incarnation < incarnation) {
            suspicions.put(id, new Suspicion(incarnation, deadlineMillis));
        }
    }

    /**
     * Ends the suspicion of a member.
     *
     * @param id the member
     */
    void end(VmId id) {
        suspicions.remove(id);
    }

    /**
     * Gives each suspected member more time, after a pause of this process.
     *
     * @param millis the time, in milliseconds
     */
    void extend(long millis) {
        suspicions.replaceAll(
                (id, held) -> new Suspicion(held.incarnation, held.deadlineMillis + millis));
    }

    /**
     * Takes the members whose time has passed.
     *
     * @param nowMillis the time, in milliseconds
     * @return the members with the incarnation that is dead
     */
    List<MemberRecord> takeExpired(long nowMillis) {
        List<MemberRecord> expired = new ArrayList<>();
        suspicions.forEach(
                (id, held) -> {
                    if (held.deadlineMillis <= nowMillis) {
                        expired.add(new MemberRecord(id, held.incarnation, MemberStatus.DEAD));
                    }
                });
        expired.forEach(record -> suspicions.remove(record.id()));
        return expired;
    }

    /**
     * Holds one suspicion.
     *
     * @param incarnation the incarnation suspected
     * @param deadlineMillis until when it may refute, in milliseconds
     */
    private record Suspicion(long incarnation, long deadlineMillis) {}
}
