package org.damasktiller.peer;

import java.util.List;
import org.damasktiller.identity.VmId;
import org.jspecify.annotations.Nullable;

/** Holds the live members of this zone, among which the first is the watcher. */
final class ZoneMembers {

    /** How many members each member of the tree passes the table on to. */
    private static final int TREE_FANOUT = 8;

    /** How many addresses are told to other zones. */
    private static final int CONTACTS = 2;

    /** This member. */
    private final VmId self;

    /** The live members in order. */
    private List<VmId> live;

    /**
     * Creates a zone with one member.
     *
     * @param self this member
     */
    ZoneMembers(VmId self) {
        this.self = self;
        this.live = List.of(self);
    }

    /**
     * Replaces the members.
     *
     * @param members the live members in the order of their addresses
     */
    void set(List<VmId> members) {
        live = List.copyOf(members);
    }

    /**
     * Lists the members.
     *
     * @return the live members in order
     */
    List<VmId> all() {
        return live;
    }

    /**
     * Tells whether this member is the watcher.
     *
     * @return whether it is the first live member
     */
    boolean selfIsWatcher() {
        return self.equals(watcher());
    }

    /**
     * Returns the watcher.
     *
     * @return the first live member, or null if there is none
     */
    @Nullable VmId watcher() {
        return live.isEmpty() ? null : live.get(0);
    }

    /**
     * Lists the members to which this one passes the table on.
     *
     * @return the children in the tree whose root is the watcher
     */
    List<VmId> children() {
        int index = live.indexOf(self);
        if (index < 0) {
            return List.of();
        }
        int first = Math.min(live.size(), index * TREE_FANOUT + 1);
        return live.subList(first, Math.min(live.size(), first + TREE_FANOUT));
    }

    /**
     * Lists the addresses to tell other zones.
     *
     * @return the watcher and the member that would follow it
     */
    List<VmId> contacts() {
        return live.subList(0, Math.min(CONTACTS, live.size()));
    }
}
