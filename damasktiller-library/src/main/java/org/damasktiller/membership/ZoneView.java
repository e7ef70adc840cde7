package org.damasktiller.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.damasktiller.membership.MembershipAction.EndpointMarked;
import org.damasktiller.membership.MembershipAction.MemberChanged;
import org.jspecify.annotations.Nullable;

/** Holds what one member knows of its zone, itself included, and merges news into it. */
final class ZoneView {

    /** The address of this member. */
    private final VmId self;

    /** How long a suspected member may refute, in milliseconds. */
    private final long suspicionMillis;

    /** What is known of each member. */
    private final MemberTable members = new MemberTable();

    /** The suspected members. */
    private final Suspicions suspicions = new Suspicions();

    /** The news to pass on. */
    private final RumorQueue rumors = new RumorQueue();

    /** The latest marks of endpoints. */
    private final Map<String, Rumor> endpointMarks = new HashMap<>();

    /** The changes that were not told yet. */
    private List<MembershipAction> changes = new ArrayList<>();

    /** The incarnation of this member. */
    private long incarnation;

    /** The status of this member. */
    private MemberStatus status = MemberStatus.LIVE;

    /** The suspicions refuted. */
    private long refutations;

    /**
     * Creates the view of a member that knows only itself.
     *
     * @param self the address of this member
     * @param incarnation the incarnation of this member
     * @param suspicionMillis how long a suspected member may refute, in milliseconds
     */
    ZoneView(VmId self, long incarnation, long suspicionMillis) {
        this.self = self;
        this.incarnation = incarnation;
        this.suspicionMillis = suspicionMillis;
        members.apply(selfRecord(), 0);
    }

    /**
     * Returns the address of this member.
     *
     * @return the address
     */
    VmId self() {
        return self;
    }

    /**
     * Returns the knowledge of all members.
     *
     * @return the table, not to be changed by others
     */
    MemberTable members() {
        return members;
    }

    /**
     * Returns the news to pass on.
     *
     * @return the queue
     */
    RumorQueue rumors() {
        return rumors;
    }

    /**
     * Tells whether this member has left.
     *
     * @return whether it has left
     */
    boolean hasLeft() {
        return status == MemberStatus.LEFT;
    }

    /**
     * Returns how often this member refuted what others said of it.
     *
     * @return the number of refutations
     */
    long refutations() {
        return refutations;
    }

    /**
     * Tells whether an endpoint must receive no new work.
     *
     * @param endpoint the endpoint
     * @return whether it is marked as leaving
     */
    boolean endpointLeaving(EndpointId endpoint) {
        Rumor mark = endpointMarks.get(endpoint.value());
        return mark != null && mark.status() == MemberStatus.LEAVING;
    }

    /**
     * Takes the changes that were not told yet.
     *
     * @return the changes
     */
    List<MembershipAction> takeChanges() {
        List<MembershipAction> taken = changes;
        changes = new ArrayList<>();
        return taken;
    }

    /**
     * Declares the members dead that did not refute in time, and forgets long dead ones.
     *
     * @param nowMillis the time, in milliseconds
     * @param tombstoneMillis how long dead members are remembered, in milliseconds
     */
    void expire(long nowMillis, long tombstoneMillis) {
        suspicions.takeExpired(nowMillis).forEach(dead -> learn(dead, nowMillis));
        members.forget(nowMillis - tombstoneMillis);
    }

    /**
     * Gives each suspected member more time, after a pause of this process.
     *
     * @param millis the time, in milliseconds
     */
    void extendSuspicions(long millis) {
        suspicions.extend(millis);
    }

    /**
     * Suspects a member that did not answer.
     *
     * @param id the member
     * @param nowMillis the time, in milliseconds
     * @return the news, or null if the member does not take part any more
     */
    @Nullable Rumor suspect(VmId id, long nowMillis) {
        MemberRecord held = members.find(id);
        if (held == null || !held.status().present()) {
            return null;
        }
        MemberRecord suspected = new MemberRecord(id, held.incarnation(), MemberStatus.SUSPECT);
        learn(suspected, nowMillis);
        suspicions.start(id, held.incarnation(), nowMillis + suspicionMillis);
        return suspected.toRumor();
    }

    /**
     * Takes in what a message says of its sender and what it passes on.
     *
     * @param message the message
     * @param nowMillis the time, in milliseconds
     * @return what the sender has to know: suspicions of itself, so that it can refute them, and
     *     refutations that it missed
     */
    List<Rumor> hear(GossipMessage message, long nowMillis) {
        List<Rumor> news = new ArrayList<>();
        Rumor stale = staleNewsOf(message);
        if (stale != null) {
            news.add(stale);
        }
        learn(
                new MemberRecord(
                        message.sender(),
                        message.incarnation(),
                        message.leaving() ? MemberStatus.LEAVING : MemberStatus.LIVE),
                nowMillis);
        if (message.leaving() && stale == null) {
            suspicions.end(message.sender());
        }
        for (Rumor rumor : message.rumors()) {
            learn(rumor, nowMillis);
            Rumor refutation = refutationOf(rumor);
            if (refutation != null) {
                news.add(refutation);
            }
        }
        return news;
    }

    /**
     * Takes in news.
     *
     * @param rumor the news
     * @param nowMillis the time, in milliseconds
     */
    void learn(Rumor rumor, long nowMillis) {
        if (rumor.subject() == RumorSubject.MEMBER) {
            learn(
                    new MemberRecord(new VmId(rumor.id()), rumor.incarnation(), rumor.status()),
                    nowMillis);
            return;
        }
        Rumor held = endpointMarks.get(rumor.id());
        if (held == null || rumor.overrides(held)) {
            endpointMarks.put(rumor.id(), rumor);
            rumors.add(rumor, true);
            changes.add(
                    new EndpointMarked(
                            new EndpointId(rumor.id()),
                            rumor.incarnation(),
                            rumor.status() == MemberStatus.LEAVING));
        }
    }

    /**
     * Takes in knowledge of a member.
     *
     * @param record the knowledge
     * @param nowMillis the time, in milliseconds
     */
    void learn(MemberRecord record, long nowMillis) {
        if (record.id().equals(self)) {
            refute(record, nowMillis);
            return;
        }
        MemberRecord before = members.find(record.id());
        if (!members.apply(record, nowMillis)) {
            return;
        }
        rumors.add(record.toRumor(), urgent(before, record));
        if (record.status() == MemberStatus.SUSPECT) {
            suspicions.start(record.id(), record.incarnation(), nowMillis + suspicionMillis);
        } else {
            suspicions.end(record.id());
        }
        changes.add(new MemberChanged(before, record));
    }

    /**
     * Changes the status of this member.
     *
     * @param next the status
     * @param nowMillis the time, in milliseconds
     */
    void changeOwnStatus(MemberStatus next, long nowMillis) {
        if (next.compareTo(status) <= 0) {
            return;
        }
        MemberRecord before = selfRecord();
        status = next;
        members.apply(selfRecord(), nowMillis);
        rumors.add(selfRecord().toRumor(), true);
        changes.add(new MemberChanged(before, selfRecord()));
    }

    /**
     * Lists the members that take part, without this one.
     *
     * @param except another member to leave out, or null
     * @return the members
     */
    List<VmId> others(@Nullable VmId except) {
        List<VmId> others = new ArrayList<>();
        for (MemberRecord member : members.present()) {
            if (!member.id().equals(self) && !member.id().equals(except)) {
                others.add(member.id());
            }
        }
        return others;
    }

    /**
     * Returns what this member says of itself.
     *
     * @return the knowledge
     */
    MemberRecord selfRecord() {
        return new MemberRecord(self, incarnation, status);
    }

    /**
     * Returns what the sender has to know of itself, to refute it.
     *
     * @param message the message
     * @return the news, or null if the sender is not held for suspect, dead or gone
     */
    private @Nullable Rumor staleNewsOf(GossipMessage message) {
        MemberRecord held = members.find(message.sender());
        if (held == null
                || held.incarnation() < message.incarnation()
                || held.status() == MemberStatus.LIVE
                || held.status() == MemberStatus.LEAVING) {
            return null;
        }
        return held.toRumor();
    }

    /**
     * Refutes what others say of this member, by a higher incarnation.
     *
     * @param record what others say
     * @param nowMillis the time, in milliseconds
     */
    private void refute(MemberRecord record, long nowMillis) {
        boolean harmless = record.incarnation() < incarnation || !record.overrides(selfRecord());
        if (harmless || status == MemberStatus.LEFT) {
            return;
        }
        incarnation = record.incarnation() + 1;
        if (record.status() == MemberStatus.LEAVING) {
            status = MemberStatus.LEAVING;
        }
        refutations++;
        members.apply(selfRecord(), nowMillis);
        rumors.add(selfRecord().toRumor(), false);
    }

    /**
     * Finds the refutation of an outdated suspicion or death.
     *
     * @param rumor the news
     * @return the refutation, or null if the news is not outdated
     */
    private @Nullable Rumor refutationOf(Rumor rumor) {
        if (rumor.subject() != RumorSubject.MEMBER || rumor.status() == MemberStatus.LIVE) {
            return null;
        }
        MemberRecord held = members.find(new VmId(rumor.id()));
        return held != null && held.incarnation() > rumor.incarnation() ? held.toRumor() : null;
    }

    /**
     * Tells whether a change is pushed at once. Suspicions and their refutations are frequent under
     * loss and ride on the probes, so that they do not use up the budget.
     *
     * @param before the knowledge before, or null if the member is new
     * @param after the knowledge now
     * @return whether it is pushed at once
     */
    private static boolean urgent(@Nullable MemberRecord before, MemberRecord after) {
        if (before == null || !after.status().present()) {
            return true;
        }
        return (after.status() == MemberStatus.LEAVING)
                != (before.status() == MemberStatus.LEAVING);
    }
}
