package org.damasktiller.membership;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.VmId;
import org.damasktiller.membership.MembershipAction.TableVersionHeard;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/**
 * Keeps one member's view of the entry VMs of its zone. Each period it probes one member directly
 * and then through others; a member that does not answer is suspected, and dead unless it refutes
 * with a higher incarnation. News is pushed to some members at once and then rides on the probes.
 * Each call takes an event with the time and returns what to do. Not safe for use by several
 * threads.
 */
public final class Membership {

    /** How many addresses are asked at once while this member is alone. */
    private static final int JOINS_WHEN_ALONE = 3;

    /** The messages whose answer carries news to the sender. */
    private static final ImmutableSet<GossipType> ANSWERED_WITH_NEWS =
            Sets.immutableEnumSet(GossipType.PING, GossipType.JOIN, GossipType.SYNC);

    /** The times and sizes. */
    private final MembershipSettings settings;

    /** What this member knows. */
    private final ZoneView view;

    /** The order of probes. */
    private final ProbeOrder order;

    /** Makes and sends messages. */
    private final GossipSender sender;

    /** Probes other members. */
    private final FailureDetector detector;

    /** Addresses that may be members of the zone. */
    private final Set<VmId> candidates = new TreeSet<>();

    /** When members are next looked for, in milliseconds. */
    private long nextJoinMillis = Long.MIN_VALUE;

    /** When members known may next be exchanged, in milliseconds. */
    private long nextSyncMillis = Long.MIN_VALUE;

    /**
     * Creates the view of a member that knows only itself.
     *
     * @param self the address of this member
     * @param incarnation a number that rises with each restart, such as the time of the start in
     *     milliseconds since 1970
     * @param seeds addresses that may be members of the same zone
     * @param settings the times and sizes
     * @param sizer computes the size of an encoded message, in bytes
     * @param random the source of random choices
     */
    public Membership(
            VmId self,
            long incarnation,
            Set<VmId> seeds,
            MembershipSettings settings,
            ToIntFunction<GossipMessage> sizer,
            RandomGenerator random) {
        this.settings = settings;
        this.view = new ZoneView(self, incarnation, settings.suspicionMillis());
        this.order = new ProbeOrder(random);
        this.sender = new GossipSender(view, settings, sizer, order);
        this.detector = new FailureDetector(view, sender, order, settings);
        candidates.addAll(seeds);
        candidates.remove(self);
    }

    /**
     * Does what is due; to be called about ten times a second.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<MembershipAction> onTick(long nowMillis) {
        if (view.hasLeft()) {
            return List.of();
        }
        detector.onTick(nowMillis);
        view.expire(nowMillis, settings.tombstoneMillis());
        if (nowMillis >= nextJoinMillis) {
            join(nowMillis);
        }
        return finish(nowMillis);
    }

    /**
     * Takes in a datagram.
     *
     * @param message the message
     * @param bytes its size as received, without headers
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<MembershipAction> onMessage(GossipMessage message, int bytes, long nowMillis) {
        sender.budget().received(bytes);
        if (message.sender().equals(view.self()) || view.hasLeft()) {
            return List.of();
        }
        long refutations = view.refutations();
        List<Rumor> news = view.hear(message, nowMillis);
        if (view.refutations() > refutations) {
            news.add(view.selfRecord().toRumor());
        }
        answer(message, news, nowMillis);
        List<MembershipAction> actions = finish(nowMillis);
        actions.add(new TableVersionHeard(message.sender(), message.tableVersion()));
        return actions;
    }

    /**
     * Takes in the platform's lagging list of VMs. A VM that it lists as live is only a hint where
     * to look; one that it lists as gone is dead unless it answers with a higher incarnation.
     *
     * @param records the VMs of this zone
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<MembershipAction> onDirectory(List<VmRecord> records, long nowMillis) {
        for (VmRecord each : records) {
            if (each.role() == VmRole.ENTRY) {
                merge(new VmId(each.address()), each.state(), nowMillis);
            }
        }
        return finish(nowMillis);
    }

    /**
     * Marks this member as leaving, so that it receives no new work.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<MembershipAction> startLeaving(long nowMillis) {
        view.changeOwnStatus(MemberStatus.LEAVING, nowMillis);
        return finish(nowMillis);
    }

    /**
     * Tells the others that this member is gone; to be called last.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<MembershipAction> leave(long nowMillis) {
        view.changeOwnStatus(MemberStatus.LEFT, nowMillis);
        return finish(nowMillis);
    }

    /**
     * Marks an endpoint as leaving, or as taking new work again, and passes this on.
     *
     * @param endpoint the endpoint
     * @param stamp orders the marks of one endpoint, such as the time in milliseconds since 1970
     * @param leaving whether the endpoint must receive no new work
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    public List<MembershipAction> markEndpoint(
            EndpointId endpoint, long stamp, boolean leaving, long nowMillis) {
        MemberStatus status = leaving ? MemberStatus.LEAVING : MemberStatus.LIVE;
        view.learn(new Rumor(RumorSubject.ENDPOINT, endpoint.value(), stamp, status), nowMillis);
        return finish(nowMillis);
    }

    /**
     * Sets the version of the table that this member tells others.
     *
     * @param version the version in force
     */
    public void setTableVersion(long version) {
        sender.setTableVersion(version);
    }

    /**
     * Lists the members that take part, this one included unless it has left.
     *
     * @return the members in the order of their addresses, equal at members with equal views
     */
    public List<MemberRecord> present() {
        return view.members().present();
    }

    /**
     * Tells whether an endpoint must receive no new work.
     *
     * @param endpoint the endpoint
     * @return whether it is marked as leaving
     */
    public boolean endpointLeaving(EndpointId endpoint) {
        return view.endpointLeaving(endpoint);
    }

    /**
     * Returns the counters.
     *
     * @return the counters
     */
    public MembershipCounters counters() {
        return new MembershipCounters(
                sender.budget().sentBytes(),
                sender.budget().receivedBytes(),
                sender.budget().refusedDatagrams(),
                detector.suspicions(),
                view.refutations());
    }

    /**
     * Merges one line of the platform's list.
     *
     * @param id the address
     * @param state what the list says
     * @param nowMillis the time, in milliseconds
     */
    private void merge(VmId id, VmState state, long nowMillis) {
        if (id.equals(view.self())) {
            return;
        }
        if (state == VmState.LIVE) {
            candidates.add(id);
            return;
        }
        if (state == VmState.GONE) {
            candidates.remove(id);
        }
        MemberRecord held = view.members().find(id);
        if (held != null) {
            MemberStatus listed = state == VmState.GONE ? MemberStatus.DEAD : MemberStatus.LEAVING;
            view.learn(new MemberRecord(id, held.incarnation(), listed), nowMillis);
        }
    }

    /**
     * Looks for members that are not known to take part: at the start, and after a partition.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void join(long nowMillis) {
        Set<VmId> absent = new TreeSet<>(candidates);
        for (MemberRecord held : view.members().all()) {
            if (held.status() == MemberStatus.DEAD) {
                absent.add(held.id());
            } else {
                absent.remove(held.id());
            }
        }
        boolean alone = view.others(null).isEmpty();
        nextJoinMillis = nowMillis + (alone ? settings.periodMillis() : settings.joinMillis());
        for (VmId id : order.some(new ArrayList<>(absent), alone ? JOINS_WHEN_ALONE : 1)) {
            MemberRecord held = view.members().find(id);
            sender.join(id, held == null ? List.of() : List.of(held.toRumor()), nowMillis);
        }
    }

    /**
     * Answers a message.
     *
     * @param message the message
     * @param news what the sender has to know
     * @param nowMillis the time, in milliseconds
     */
    private void answer(GossipMessage message, List<Rumor> news, long nowMillis) {
        switch (message.type()) {
            case PING -> sender.acknowledge(message, news, nowMillis);
            case ACK -> onAcknowledgement(message, nowMillis);
            case PING_REQUEST -> {
                VmId target = message.target();
                if (target != null) {
                    sender.ping(target, message.sequence(), message.sender(), nowMillis);
                }
            }
            case JOIN, SYNC ->
                    sender.tellMembers(GossipType.SYNC_REPLY, message.sender(), news, nowMillis);
            default -> {
                // A rumor or a reply to a sync needs no answer of its own.
            }
        }
        if (message.type() == GossipType.PING) {
            syncIfDifferent(message, nowMillis);
        }
        if (!ANSWERED_WITH_NEWS.contains(message.type()) && !news.isEmpty()) {
            sender.tell(message.sender(), news, nowMillis);
        }
    }

    /**
     * Takes in the answer to a probe, or passes it on to the member for which it was made.
     *
     * @param message the answer
     * @param nowMillis the time, in milliseconds
     */
    private void onAcknowledgement(GossipMessage message, long nowMillis) {
        VmId origin = message.origin();
        if (origin != null && !origin.equals(view.self())) {
            sender.passOn(message, origin, nowMillis);
            return;
        }
        VmId target = message.target();
        detector.onAnswer(target == null ? message.sender() : target, message.sequence());
        syncIfDifferent(message, nowMillis);
    }

    /**
     * Exchanges members known if another view differs although all news was passed on.
     *
     * @param message the message that told the digest of the other view
     * @param nowMillis the time, in milliseconds
     */
    private void syncIfDifferent(GossipMessage message, long nowMillis) {
        if (message.viewDigest() != view.members().digest()
                && view.rumors().isEmpty()
                && nowMillis >= nextSyncMillis) {
            nextSyncMillis = nowMillis + settings.syncMillis();
            sender.tellMembers(GossipType.SYNC, message.sender(), List.of(), nowMillis);
        }
    }

    /**
     * Pushes fresh news and returns what to do.
     *
     * @param nowMillis the time, in milliseconds
     * @return what to do
     */
    private List<MembershipAction> finish(long nowMillis) {
        sender.pushFresh(nowMillis);
        List<MembershipAction> actions = new ArrayList<>(view.takeChanges());
        actions.addAll(sender.takeOutbox());
        return actions;
    }
}
