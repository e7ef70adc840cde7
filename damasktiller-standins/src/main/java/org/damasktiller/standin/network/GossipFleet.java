package org.damasktiller.standin.network;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.membership.GossipCodec;
import org.damasktiller.membership.GossipMessage;
import org.damasktiller.membership.MemberRecord;
import org.damasktiller.membership.Membership;
import org.damasktiller.membership.MembershipAction;
import org.damasktiller.membership.MembershipAction.MemberChanged;
import org.damasktiller.membership.MembershipAction.Send;
import org.damasktiller.membership.MembershipSettings;
import org.damasktiller.standin.time.VirtualTime;

/** Drives the members of one zone over a virtual network. Not safe for use by several threads. */
public final class GossipFleet {

    /** The time between two ticks of a member, in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /** The bytes of IP and UDP headers. */
    private static final int HEADER_BYTES = 28;

    /** The clock. */
    private final VirtualTime time;

    /** The network. */
    private final VirtualNetwork network;

    /** Converts messages. */
    private final GossipCodec codec;

    /** The running members. */
    private final Map<VmId, Membership> members = new TreeMap<>();

    /** The members whose process is paused. */
    private final Set<VmId> paused = new HashSet<>();

    /** Deliveries and ticks held back by a pause. */
    private final List<Held> held = new ArrayList<>();

    /** The source of seeds for the members. */
    private final Random random;

    /** Told of each change that a member notices. */
    private Consumer<Observation> observer = observation -> {};

    /**
     * Creates an empty zone.
     *
     * @param time the clock
     * @param network the network
     * @param zone the zone
     * @param seed the seed of random choices
     */
    public GossipFleet(VirtualTime time, VirtualNetwork network, ZoneName zone, long seed) {
        this.time = time;
        this.network = network;
        this.codec = new GossipCodec(zone, "test");
        this.random = new Random(seed);
    }

    /**
     * Sets who is told of each change that a member notices.
     *
     * @param value the observer
     */
    public void observe(Consumer<Observation> value) {
        observer = value;
    }

    /**
     * Starts a member, with the time as its incarnation.
     *
     * @param id its address
     * @param seeds addresses where it looks for others
     */
    public void start(VmId id, Set<VmId> seeds) {
        Membership member =
                new Membership(
                        id,
                        time.nowMillis(),
                        seeds,
                        MembershipSettings.STANDARD,
                        message -> codec.encode(message).length,
                        new Random(random.nextLong()));
        members.put(id, member);
        time.after(random.nextInt((int) TICK_MILLIS), () -> tick(id, member));
    }

    /**
     * Kills a member without a word.
     *
     * @param id its address
     */
    public void kill(VmId id) {
        members.remove(id);
    }

    /**
     * Pauses the process of a member; what reaches it waits.
     *
     * @param id its address
     * @param millis for how long, in milliseconds
     */
    public void pause(VmId id, long millis) {
        paused.add(id);
        time.after(millis, () -> resume(id));
    }

    /**
     * Calls a member.
     *
     * @param id its address
     * @param event the call
     */
    public void call(VmId id, Function<Membership, List<MembershipAction>> event) {
        Membership member = members.get(id);
        if (member != null) {
            carryOut(id, event.apply(member));
        }
    }

    /**
     * Finds a member.
     *
     * @param id its address
     * @return the member
     */
    public Membership member(VmId id) {
        Membership member = members.get(id);
        if (member == null) {
            throw new IllegalArgumentException(id + " is not running");
        }
        return member;
    }

    /**
     * Lists the running members.
     *
     * @return their addresses in order
     */
    public List<VmId> running() {
        return List.copyOf(members.keySet());
    }

    /**
     * Tells whether each running member knows exactly the running members.
     *
     * @return whether all views agree with what runs
     */
    public boolean agreed() {
        List<VmId> running = running();
        return members.values().stream()
                .allMatch(
                        member ->
                                member.present().stream()
                                        .map(MemberRecord::id)
                                        .toList()
                                        .equals(running));
    }

    /**
     * Ticks a member while it runs.
     *
     * @param id its address
     * @param member the member
     */
    private void tick(VmId id, Membership member) {
        if (members.get(id) != member) {
            return;
        }
        if (paused.contains(id)) {
            held.add(new Held(id, () -> tick(id, member)));
            return;
        }
        carryOut(id, member.onTick(time.nowMillis()));
        time.after(TICK_MILLIS, () -> tick(id, member));
    }

    /**
     * Delivers a datagram.
     *
     * @param to the receiver
     * @param bytes the datagram
     */
    private void deliver(VmId to, byte[] bytes) {
        Membership member = members.get(to);
        if (paused.contains(to)) {
            held.add(new Held(to, () -> deliver(to, bytes)));
        } else if (member != null) {
            GossipMessage message = codec.decode(bytes, "network");
            carryOut(to, member.onMessage(message, bytes.length, time.nowMillis()));
        }
    }

    /**
     * Does what a member asks for.
     *
     * @param id its address
     * @param actions what it asks for
     */
    private void carryOut(VmId id, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof Send send) {
                byte[] bytes = codec.encode(send.message());
                network.sendDatagram(
                        id,
                        send.to(),
                        bytes.length + HEADER_BYTES,
                        () -> deliver(send.to(), bytes));
            } else if (action instanceof MemberChanged change) {
                observer.accept(new Observation(time.nowMillis(), id, change.after()));
            }
        }
    }

    /**
     * Ends the pause of a member.
     *
     * @param id its address
     */
    private void resume(VmId id) {
        paused.remove(id);
        List<Held> released = held.stream().filter(each -> each.id.equals(id)).toList();
        held.removeAll(released);
        released.forEach(each -> each.action.run());
    }

    /**
     * Holds a change that a member noticed.
     *
     * @param atMillis when, in milliseconds
     * @param observer the member that noticed it
     * @param subject the knowledge now
     */
    public record Observation(long atMillis, VmId observer, MemberRecord subject) {}

    /**
     * Holds what a pause holds back.
     *
     * @param id the paused member
     * @param action what to do afterwards
     */
    private record Held(VmId id, Runnable action) {}
}
