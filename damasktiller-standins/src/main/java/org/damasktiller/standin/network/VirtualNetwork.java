package org.damasktiller.standin.network;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.standin.time.VirtualTime;

/**
 * Delivers messages in virtual time, with delay, loss, cuts and the slow link between regions. Not
 * safe for use by several threads.
 */
public final class VirtualNetwork {

    /** The delay within a region, in milliseconds. */
    private static final long REGION_DELAY_MILLIS = 1;

    /** The delay between regions, in milliseconds. */
    private static final long LINK_DELAY_MILLIS = 30;

    /** The bytes that the link between two regions carries in a millisecond, at 20 Mbit/s. */
    private static final long LINK_BYTES_PER_MILLISECOND = 2_500;

    /** The clock. */
    private final VirtualTime time;

    /** The source of losses. */
    private final Random random;

    /** Where each member is. */
    private final Map<VmId, Place> places = new HashMap<>();

    /** The directed cuts between members. */
    private final Set<Pair> cuts = new HashSet<>();

    /** When the link of each region pair is free again, in milliseconds. */
    private final Map<String, Long> linkFreeAt = new HashMap<>();

    /** The part of datagrams that are lost. */
    private double loss;

    /** The bytes that crossed between regions. */
    private long linkBytes;

    /**
     * Creates a network without loss and cuts.
     *
     * @param time the clock
     * @param seed the seed of losses
     */
    public VirtualNetwork(VirtualTime time, long seed) {
        this.time = time;
        this.random = new Random(seed);
    }

    /**
     * Places a member.
     *
     * @param id the member
     * @param zone its zone
     * @param region its region
     */
    public void place(VmId id, ZoneName zone, RegionName region) {
        places.put(id, new Place(zone, region));
    }

    /**
     * Sets the loss of datagrams.
     *
     * @param part the part lost, 0 to 1
     */
    public void loss(double part) {
        loss = part;
    }

    /**
     * Cuts one direction between two sets of members.
     *
     * @param from the senders
     * @param to the receivers
     */
    public void cut(Iterable<VmId> from, Iterable<VmId> to) {
        for (VmId sender : from) {
            for (VmId receiver : to) {
                cuts.add(new Pair(sender, receiver));
            }
        }
    }

    /** Heals all cuts. */
    public void heal() {
        cuts.clear();
    }

    /**
     * Tells whether a message can get from one member to another.
     *
     * @param from the sender
     * @param to the receiver
     * @return whether the direction is not cut
     */
    public boolean connected(VmId from, VmId to) {
        return !cuts.contains(new Pair(from, to));
    }

    /**
     * Sends a datagram, which may be lost.
     *
     * @param from the sender
     * @param to the receiver
     * @param bytes its size, headers included
     * @param delivery what to do on arrival
     */
    public void sendDatagram(VmId from, VmId to, int bytes, Runnable delivery) {
        if (random.nextDouble() >= loss) {
            sendStream(from, to, bytes, delivery);
        }
    }

    /**
     * Sends a message over a connection, which is lost only by a cut.
     *
     * @param from the sender
     * @param to the receiver
     * @param bytes its size, headers included
     * @param delivery what to do on arrival
     */
    public void sendStream(VmId from, VmId to, int bytes, Runnable delivery) {
        if (connected(from, to)) {
            time.after(
                    delay(from, to, bytes),
                    () -> {
                        if (connected(from, to)) {
                            delivery.run();
                        }
                    });
        }
    }

    /**
     * Returns the bytes that crossed between regions.
     *
     * @return the bytes, headers included
     */
    public long linkBytes() {
        return linkBytes;
    }

    /**
     * Computes how long a message takes.
     *
     * @param from the sender
     * @param to the receiver
     * @param bytes its size
     * @return the delay, in milliseconds
     */
    private long delay(VmId from, VmId to, int bytes) {
        Place source = places.get(from);
        Place target = places.get(to);
        if (source == null || target == null || source.region.equals(target.region)) {
            return REGION_DELAY_MILLIS;
        }
        linkBytes += bytes;
        String link = source.region + " " + target.region;
        long startMillis = Math.max(time.nowMillis(), linkFreeAt.getOrDefault(link, 0L));
        long endMillis = startMillis + bytes / LINK_BYTES_PER_MILLISECOND;
        linkFreeAt.put(link, endMillis);
        return endMillis - time.nowMillis() + LINK_DELAY_MILLIS;
    }

    /**
     * Holds where a member is.
     *
     * @param zone its zone
     * @param region its region
     */
    private record Place(ZoneName zone, RegionName region) {}

    /**
     * Holds a direction.
     *
     * @param from the sender
     * @param to the receiver
     */
    private record Pair(VmId from, VmId to) {}
}
