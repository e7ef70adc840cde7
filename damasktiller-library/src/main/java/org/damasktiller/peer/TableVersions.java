package org.damasktiller.peer;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.peer.PeerMessage.TablePatch;
import org.damasktiller.peer.PeerMessage.TableSnapshot;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableChanges;
import org.damasktiller.table.TableReader;
import org.damasktiller.table.TableWriter;
import org.jspecify.annotations.Nullable;

/**
 * Holds the table in force on one member, whose version only rises, and the latest versions before
 * it, from which changes for members that are behind are computed.
 */
final class TableVersions {

    /** How many earlier versions are kept. */
    private static final int MAXIMUM_KEPT = 32;

    /** The latest versions. */
    private final NavigableMap<Long, OperatorTable> kept = new TreeMap<>();

    /** Reads tables sent by peers. */
    private final TableReader reader = new TableReader(Set.of());

    /** Creates a holder of the empty table. */
    TableVersions() {
        kept.put(0L, OperatorTable.EMPTY);
    }

    /**
     * Returns the table in force.
     *
     * @return the table
     */
    OperatorTable current() {
        return kept.lastEntry().getValue();
    }

    /**
     * Puts a table in force if its version is higher.
     *
     * @param table the table
     * @return whether it is in force now
     */
    boolean adopt(OperatorTable table) {
        if (table.version() <= current().version()) {
            return false;
        }
        kept.put(table.version(), table);
        if (kept.size() > MAXIMUM_KEPT) {
            kept.pollFirstEntry();
        }
        return true;
    }

    /**
     * Applies the changes of a peer.
     *
     * @param patch the changes
     * @return the table, or null if the changes do not lead from a version held to the digest told
     */
    @Nullable OperatorTable apply(TablePatch patch) {
        OperatorTable base = kept.get(patch.fromVersion());
        if (base == null) {
            return null;
        }
        OperatorTable table = TableChanges.decode(patch.changes()).applyTo(base, patch.toVersion());
        return table.digest() == patch.digest() ? table : null;
    }

    /**
     * Reads the whole table of a peer.
     *
     * @param snapshot the table as sent
     * @return the table, or null if its digest does not match
     */
    @Nullable OperatorTable read(TableSnapshot snapshot) {
        OperatorTable table = reader.read(snapshot.csv(), snapshot.version());
        return table.digest() == snapshot.digest() ? table : null;
    }

    /**
     * Makes the message that brings a peer to the table in force.
     *
     * @param haveVersion the version that the peer has in force
     * @return the changes if the version is kept, else the whole table
     */
    PeerMessage messageFrom(long haveVersion) {
        OperatorTable table = current();
        OperatorTable base = kept.get(haveVersion);
        if (base == null || base.version() == 0) {
            return new TableSnapshot(table.version(), table.digest(), TableWriter.write(table));
        }
        byte[] changes = TableChanges.between(base, table).encode();
        return new TablePatch(haveVersion, table.version(), table.digest(), changes);
    }

    /**
     * Returns the version that was in force before the current one.
     *
     * @return the version, zero if there was none
     */
    long previousVersion() {
        Map.Entry<Long, OperatorTable> before = kept.lowerEntry(current().version());
        return before == null ? 0 : before.getKey();
    }
}
