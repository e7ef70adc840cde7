package org.damasktiller.limit;

import java.util.Optional;
import org.damasktiller.identity.ZoneName;

/**
 * Keeps one zone within its share of a limit. The sum of the shares in the record never exceeds the
 * limit, and a zone never runs more than its share: to shrink, it first lowers what it uses and
 * then writes the smaller share; to grow, it first writes the larger share and uses it only after
 * an answer that shows it. A zone that is cut off keeps its share, so the limit holds under any
 * partition. If the limit itself is lowered, zones give back their part as soon as they can write.
 * Each call takes an event and returns nothing or the next write; it does no I/O. Not safe for use
 * by several threads.
 */
public final class EscrowedLimit {

    /** This zone. */
    private final ZoneName zone;

    /** How many zones share the limit. */
    private final int zones;

    /** The limit over all zones. */
    private int limit;

    /** How many may run here now. */
    private int usable;

    /** How many run here. */
    private int running;

    /** How many more could run here. */
    private int waiting;

    /** The record as last read or written. */
    private LimitRecord record = LimitRecord.EMPTY;

    /** The revision of the record, or a negative number if it has to be read. */
    private long revision = -1;

    /** The revision on which writes without an answer depend, or a negative number. */
    private long unresolvedRevision = -1;

    /** The smallest share that a write without an answer would leave to this zone. */
    private int unresolvedShare;

    /** The write that waits for its answer, or empty. */
    private Optional<LimitWrite> pending = Optional.empty();

    /**
     * Creates the keeper of a zone that has no share yet.
     *
     * @param zone this zone
     * @param zones how many zones share the limit, above zero
     * @param limit the limit over all zones, not negative
     */
    public EscrowedLimit(ZoneName zone, int zones, int limit) {
        this.zone = zone;
        this.zones = zones;
        this.limit = limit;
    }

    /**
     * Changes the limit, as the table did.
     *
     * @param value the limit over all zones, not negative
     */
    public void setLimit(int value) {
        limit = value;
    }

    /**
     * Tells how many more could run here.
     *
     * @param value the number of waiting tasks or requests
     */
    public void setWaiting(int value) {
        waiting = value;
    }

    /**
     * Starts one task or request if the share has room.
     *
     * @return whether it may start
     */
    public boolean tryStart() {
        if (running >= usable) {
            return false;
        }
        running++;
        return true;
    }

    /** Ends one task or request. */
    public void finish() {
        running--;
    }

    /**
     * Returns how many may run here now.
     *
     * @return the usable share
     */
    public int usable() {
        return usable;
    }

    /**
     * Tells whether the record has to be read.
     *
     * @return whether it is not known
     */
    public boolean needsRead() {
        return revision < 0;
    }

    /**
     * Takes in the record as read from the store. A zone that starts again or returns uses no more
     * than the record grants it.
     *
     * @param read the record, empty if there is none
     * @param readRevision its revision, zero if there is none
     */
    public void onRead(LimitRecord read, long readRevision) {
        record = read;
        revision = readRevision;
        pending = Optional.empty();
        if (unresolvedRevision != revision) {
            unresolvedRevision = -1;
        }
        int granted = read.share(zone).granted();
        usable = unresolvedRevision < 0 ? granted : Math.min(granted, unresolvedShare);
    }

    /**
     * Decides on the next write.
     *
     * @return the write, or empty if the share fits or has to wait
     */
    public Optional<LimitWrite> next() {
        if (needsRead() || pending.isPresent()) {
            return Optional.empty();
        }
        int granted = record.share(zone).granted();
        int target = target();
        if (target < granted) {
            usable = Math.min(usable, target);
            target = Math.max(target, running);
        }
        ZoneShare share = new ZoneShare(target, running + waiting);
        if (share.equals(record.share(zone)) && unresolvedRevision < 0) {
            return Optional.empty();
        }
        pending = Optional.of(new LimitWrite(record.with(zone, share), revision));
        return pending;
    }

    /**
     * Takes in the answer to a write.
     *
     * @param applied whether it took effect
     * @param newRevision the revision of the write if it took effect
     */
    public void onAnswer(boolean applied, long newRevision) {
        LimitWrite write = pending.orElseThrow();
        pending = Optional.empty();
        if (!applied) {
            revision = -1;
            return;
        }
        record = write.record();
        revision = newRevision;
        unresolvedRevision = -1;
        usable = record.share(zone).granted();
    }

    /**
     * Takes in that a write got no answer. The record is read again before anything else; while it
     * is unchanged the write may yet take effect, so that another write has to settle it before
     * this zone uses more than either share.
     */
    public void onNoAnswer() {
        LimitWrite write = pending.orElseThrow();
        int share = write.record().share(zone).granted();
        boolean again = unresolvedRevision == write.expectedRevision();
        unresolvedShare = again ? Math.min(unresolvedShare, share) : share;
        unresolvedRevision = write.expectedRevision();
        usable = Math.min(usable, unresolvedShare);
        pending = Optional.empty();
        revision = -1;
    }

    /**
     * Computes the share that this zone should have: what it wants, but no more than is free, and
     * above its even part only what no other zone misses.
     *
     * @return the share
     */
    private int target() {
        int granted = record.share(zone).granted();
        int wanted = running + waiting;
        int free = limit - record.granted();
        int even = limit / zones;
        if (free < 0) {
            return Math.max(0, granted + Math.max(free, -Math.max(0, granted - even)));
        }
        int target = wanted > granted ? Math.min(wanted, granted + free) : granted;
        int missing = Math.max(0, record.missingElsewhere(zone) - free);
        if (missing > 0) {
            int kept = Math.max(Math.min(wanted, even), granted - missing);
            target = Math.min(target, Math.max(kept, 0));
        }
        return target;
    }
}
