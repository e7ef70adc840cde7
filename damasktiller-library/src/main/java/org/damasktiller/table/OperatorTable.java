package org.damasktiller.table;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.identity.KindName;

/** Holds one version of the operators' table. Immutable, so safe for use by several threads. */
public final class OperatorTable {

    /** The table before the first edit. */
    public static final OperatorTable EMPTY = of(0, List.of());

    /** The version, which only rises. */
    private final long version;

    /** The rows by kind, in the operators' order. */
    private final ImmutableMap<KindName, KindOfWork> rows;

    /** The sum of the hashes of the rows, kept up to date by each delta. */
    private final long rowHashes;

    /**
     * Creates a table.
     *
     * @param version the version
     * @param rows the rows by kind
     * @param rowHashes the sum of the hashes of the rows
     */
    private OperatorTable(long version, ImmutableMap<KindName, KindOfWork> rows, long rowHashes) {
        this.version = version;
        this.rows = rows;
        this.rowHashes = rowHashes;
    }

    /**
     * Creates a table.
     *
     * @param version the version, not negative
     * @param rows the rows, each kind once
     * @return the table
     * @throws IllegalArgumentException if a kind stands twice or the version is negative
     */
    public static OperatorTable of(long version, List<KindOfWork> rows) {
        if (version < 0) {
            throw new IllegalArgumentException("the version must not be negative");
        }
        ImmutableMap.Builder<KindName, KindOfWork> byName = ImmutableMap.builder();
        rows.forEach(row -> byName.put(row.name(), row));
        long hashes = rows.stream().mapToLong(OperatorTable::hash).sum();
        return new OperatorTable(version, byName.buildOrThrow(), hashes);
    }

    /**
     * Returns the version.
     *
     * @return the version, zero before the first edit
     */
    public long version() {
        return version;
    }

    /**
     * Returns the rows.
     *
     * @return the rows in the operators' order
     */
    public ImmutableList<KindOfWork> rows() {
        return rows.values().asList();
    }

    /**
     * Finds the row of a kind.
     *
     * @param name the kind
     * @return the row, or empty if the table has no such kind
     */
    public Optional<KindOfWork> row(KindName name) {
        return Optional.ofNullable(rows.get(name));
    }

    /**
     * Computes a digest of version and rows, equal on all members that hold the same table. It does
     * not depend on the order of the rows.
     *
     * @return the digest
     */
    public long digest() {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(version)
                .putLong(rowHashes)
                .hash()
                .asLong();
    }

    /**
     * Applies the edit that follows this version.
     *
     * @param delta the edit, complete and of the next version
     * @return the table of the next version
     * @throws IllegalArgumentException if the edit is not complete or not the next one
     */
    public OperatorTable apply(TableDelta delta) {
        if (delta.version() != version + 1 || !delta.complete()) {
            throw new IllegalArgumentException("not the complete edit after version " + version);
        }
        return with(delta.version(), delta.changes());
    }

    /**
     * Undoes an edit, if the rows before it are known.
     *
     * @param delta the complete edit that made this version, with the rows before it
     * @return the table of the version before
     */
    OperatorTable undo(TableDelta delta) {
        return with(
                delta.version() - 1,
                delta.changes().stream()
                        .map(change -> new RowChange(change.kind(), null, change.before()))
                        .toList());
    }

    /**
     * Changes rows.
     *
     * @param newVersion the version of the result
     * @param changes the changed rows
     * @return the changed table
     */
    OperatorTable with(long newVersion, List<RowChange> changes) {
        Map<KindName, KindOfWork> changed = new LinkedHashMap<>(rows);
        long hashes = rowHashes;
        for (RowChange change : changes) {
            KindOfWork after = change.after();
            KindOfWork before =
                    after == null
                            ? changed.remove(change.kind())
                            : changed.put(change.kind(), after);
            hashes -= before == null ? 0 : hash(before);
            hashes += after == null ? 0 : hash(after);
        }
        return new OperatorTable(newVersion, ImmutableMap.copyOf(changed), hashes);
    }

    /**
     * Hashes the cells of a row.
     *
     * @param row the row
     * @return the hash
     */
    private static long hash(KindOfWork row) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putString(row.name().value(), StandardCharsets.UTF_8);
        for (TableColumn<?> column : TableColumns.valueColumns()) {
            hasher.putString(column.text(row), StandardCharsets.UTF_8).putChar(',');
        }
        return hasher.hash().asLong();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof OperatorTable that
                && version == that.version
                && rows().equals(that.rows());
    }

    @Override
    public int hashCode() {
        return Long.hashCode(version) + rows.hashCode();
    }

    @Override
    public String toString() {
        return "table version " + version + " of " + rows.size() + " rows";
    }
}
