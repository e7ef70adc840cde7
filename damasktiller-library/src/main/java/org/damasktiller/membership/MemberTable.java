package org.damasktiller.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.damasktiller.identity.VmId;
import org.jspecify.annotations.Nullable;

/** Keeps what is known of each member of a zone, dead and left ones for some time. */
final class MemberTable {

    /** The knowledge by address. */
    private final TreeMap<VmId, Entry> entries = new TreeMap<>();

    /** The sum of the hashes of the present members. */
    private long digest;

    /** Creates an empty table. */
    MemberTable() {}

    /**
     * Takes in knowledge if it is newer than what is held.
     *
     * @param record the knowledge
     * @param nowMillis the time, in milliseconds
     * @return whether it was newer
     */
    boolean apply(MemberRecord record, long nowMillis) {
        Entry held = entries.get(record.id());
        if (held != null && !record.overrides(held.record)) {
            return false;
        }
        digest -= held == null ? 0 : hash(held.record);
        digest += hash(record);
        entries.put(record.id(), new Entry(record, nowMillis));
        return true;
    }

    /**
     * Finds the knowledge of a member.
     *
     * @param id the address
     * @return the knowledge, or null if there is none
     */
    @Nullable MemberRecord find(VmId id) {
        Entry entry = entries.get(id);
        return entry == null ? null : entry.record;
    }

    /**
     * Lists the members that take part.
     *
     * @return the members in the order of their addresses
     */
    List<MemberRecord> present() {
        return all().stream().filter(member -> member.status().present()).toList();
    }

    /**
     * Lists all knowledge, dead and left members included.
     *
     * @return the knowledge in the order of the addresses
     */
    List<MemberRecord> all() {
        List<MemberRecord> records = new ArrayList<>();
        for (Entry entry : entries.values()) {
            records.add(entry.record);
        }
        return records;
    }

    /**
     * Forgets the members that have been dead or gone for long.
     *
     * @param beforeMillis forget what was learnt before this time, in milliseconds
     */
    void forget(long beforeMillis) {
        entries.values()
                .removeIf(
                        entry ->
                                !entry.record.status().present()
                                        && entry.sinceMillis < beforeMillis);
    }

    /**
     * Returns the digest of the present members, equal at members with equal views.
     *
     * @return the digest
     */
    long digest() {
        return digest;
    }

    /**
     * Hashes a present member; suspicions come and go, so they do not count.
     *
     * @param record the knowledge
     * @return the hash, or zero for a member that is dead or has left
     */
    private static long hash(MemberRecord record) {
        if (!record.status().present()) {
            return 0;
        }
        return Hashing.murmur3_128()
                .newHasher()
                .putString(record.id().value(), StandardCharsets.UTF_8)
                .putLong(record.incarnation())
                .putBoolean(record.status() == MemberStatus.LEAVING)
                .hash()
                .asLong();
    }

    /**
     * Holds knowledge with the time at which it was learnt.
     *
     * @param record the knowledge
     * @param sinceMillis the time, in milliseconds
     */
    private record Entry(MemberRecord record, long sinceMillis) {}
}
