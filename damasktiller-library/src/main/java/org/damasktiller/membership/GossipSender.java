package org.damasktiller.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.damasktiller.identity.VmId;
import org.damasktiller.membership.MembershipAction.Send;
import org.jspecify.annotations.Nullable;

/** Makes the messages of one member and sends them within the budget of bytes. */
final class GossipSender {

    /** How many members get news at once. */
    private static final int PUSH_FANOUT = 4;

    /** The bytes of a datagram kept for its header fields. */
    private static final int HEADER_ROOM = 200;

    /** The bytes of news on a probe at most. */
    private static final int PIGGYBACK_BYTES = 160;

    /** The most members told in one message. */
    private static final int MAXIMUM_TOLD = 24;

    /** The bytes of one told member besides its address. */
    private static final int TOLD_BYTES = 16;

    /** The bytes of the budget kept for probes and their answers. */
    private static final int PROBE_RESERVE_BYTES = 600;

    /** What this member knows. */
    private final ZoneView view;

    /** The times and sizes. */
    private final MembershipSettings settings;

    /** Computes the size of an encoded message. */
    private final ToIntFunction<GossipMessage> sizer;

    /** Chooses receivers. */
    private final ProbeOrder order;

    /** The budget of bytes. */
    private final ByteBudget budget;

    /** The messages to send. */
    private List<MembershipAction> outbox = new ArrayList<>();

    /** Where the next telling of members starts. */
    private int tellOffset;

    /** The version of the table in force at this member. */
    private long tableVersion;

    /**
     * Creates a sender.
     *
     * @param view what this member knows
     * @param settings the times and sizes
     * @param sizer computes the size of an encoded message
     * @param order chooses receivers
     */
    GossipSender(
            ZoneView view,
            MembershipSettings settings,
            ToIntFunction<GossipMessage> sizer,
            ProbeOrder order) {
        this.view = view;
        this.settings = settings;
        this.sizer = sizer;
        this.order = order;
        this.budget = new ByteBudget(settings.bytesPerSecond());
    }

    /**
     * Returns the budget.
     *
     * @return the budget
     */
    ByteBudget budget() {
        return budget;
    }

    /**
     * Sets the version of the table that this member tells others.
     *
     * @param version the version in force
     */
    void setTableVersion(long version) {
        tableVersion = version;
    }

    /**
     * Takes the messages to send.
     *
     * @return the messages
     */
    List<MembershipAction> takeOutbox() {
        List<MembershipAction> taken = outbox;
        outbox = new ArrayList<>();
        return taken;
    }

    /**
     * Sends a probe.
     *
     * @param target the member probed
     * @param number the number of the probe
     * @param origin the member for which it is made, or null
     * @param nowMillis the time, in milliseconds
     */
    void ping(VmId target, int number, @Nullable VmId origin, long nowMillis) {
        MemberRecord held = view.members().find(target);
        List<Rumor> news =
                held != null && held.status() == MemberStatus.SUSPECT
                        ? List.of(held.toRumor())
                        : List.of();
        send(target, message(GossipType.PING, number, null, origin, withNews(news)), nowMillis);
    }

    /**
     * Answers a probe.
     *
     * @param probe the probe
     * @param news what the sender of the probe has to know
     * @param nowMillis the time, in milliseconds
     */
    void acknowledge(GossipMessage probe, List<Rumor> news, long nowMillis) {
        send(
                probe.sender(),
                message(GossipType.ACK, probe.sequence(), null, probe.origin(), withNews(news)),
                nowMillis);
    }

    /**
     * Passes the answer to a probe on to the member for which it was made.
     *
     * @param answer the answer
     * @param origin the member for which the probe was made
     * @param nowMillis the time, in milliseconds
     */
    void passOn(GossipMessage answer, VmId origin, long nowMillis) {
        send(
                origin,
                message(GossipType.ACK, answer.sequence(), answer.sender(), origin, List.of()),
                nowMillis);
    }

    /**
     * Asks a member to probe another one.
     *
     * @param helper the member asked
     * @param target the member to probe
     * @param number the number of the probe
     * @param nowMillis the time, in milliseconds
     */
    void requestPing(VmId helper, VmId target, int number, long nowMillis) {
        send(helper, message(GossipType.PING_REQUEST, number, target, null, List.of()), nowMillis);
    }

    /**
     * Asks a possible member for the members it knows.
     *
     * @param candidate the address
     * @param news what it has to know of itself
     * @param nowMillis the time, in milliseconds
     */
    void join(VmId candidate, List<Rumor> news, long nowMillis) {
        send(candidate, message(GossipType.JOIN, 0, null, null, news), nowMillis);
    }

    /**
     * Tells news to one member.
     *
     * @param to the receiver
     * @param news the news
     * @param nowMillis the time, in milliseconds
     */
    void tell(VmId to, List<Rumor> news, long nowMillis) {
        send(to, message(GossipType.RUMOR, 0, null, null, news), nowMillis);
    }

    /**
     * Pushes fresh news to some members, if the budget has room beyond the probes.
     *
     * @param nowMillis the time, in milliseconds
     */
    void pushFresh(long nowMillis) {
        List<Rumor> fresh = view.rumors().takeFresh();
        if (fresh.isEmpty()) {
            return;
        }
        List<Rumor> news = fresh.subList(0, Math.min(fresh.size(), MAXIMUM_TOLD));
        for (VmId peer : order.some(view.others(null), PUSH_FANOUT)) {
            sendWithin(
                    peer,
                    message(GossipType.RUMOR, 0, null, null, news),
                    PROBE_RESERVE_BYTES,
                    nowMillis);
        }
    }

    /**
     * Tells some of the members known; further calls go on where this one ended.
     *
     * @param type the type of the message
     * @param to the receiver
     * @param first news to tell first
     * @param nowMillis the time, in milliseconds
     */
    void tellMembers(GossipType type, VmId to, List<Rumor> first, long nowMillis) {
        List<MemberRecord> all = view.members().all();
        List<Rumor> told = new ArrayList<>(first);
        int room = settings.datagramBytes() - HEADER_ROOM;
        for (int index = 0; index < Math.min(all.size(), MAXIMUM_TOLD) && room > 0; index++) {
            Rumor rumor = all.get((tellOffset + index) % all.size()).toRumor();
            room -= rumor.id().length() + TOLD_BYTES;
            told.add(rumor);
        }
        tellOffset = (tellOffset + told.size() - first.size()) % all.size();
        sendWithin(to, message(type, 0, null, null, told), PROBE_RESERVE_BYTES, nowMillis);
    }

    /**
     * Adds news that waits to be passed on.
     *
     * @param first the news that goes first
     * @return all news
     */
    private List<Rumor> withNews(List<Rumor> first) {
        List<Rumor> news = new ArrayList<>(first);
        news.addAll(view.rumors().choose(PIGGYBACK_BYTES, view.members().present().size()));
        return news;
    }

    /**
     * Makes a message of this member.
     *
     * @param type the type
     * @param number the number of the probe
     * @param target the member to probe, or null
     * @param origin the member for which a probe is made, or null
     * @param news the news
     * @return the message
     */
    private GossipMessage message(
            GossipType type,
            int number,
            @Nullable VmId target,
            @Nullable VmId origin,
            List<Rumor> news) {
        return new GossipMessage(
                type,
                view.self(),
                view.selfRecord().incarnation(),
                view.selfRecord().status() != MemberStatus.LIVE,
                number,
                target,
                origin,
                view.members().digest(),
                tableVersion,
                news);
    }

    /**
     * Sends a message if the budget allows.
     *
     * @param to the receiver
     * @param message the message
     * @param nowMillis the time, in milliseconds
     */
    private void send(VmId to, GossipMessage message, long nowMillis) {
        sendWithin(to, message, 0, nowMillis);
    }

    /**
     * Sends a message if the budget then still holds a reserve.
     *
     * @param to the receiver
     * @param message the message
     * @param reserveBytes the bytes of the budget to leave for more urgent messages
     * @param nowMillis the time, in milliseconds
     */
    private void sendWithin(VmId to, GossipMessage message, int reserveBytes, long nowMillis) {
        if (budget.trySend(sizer.applyAsInt(message), reserveBytes, nowMillis)) {
            outbox.add(new Send(to, message));
        }
    }
}
