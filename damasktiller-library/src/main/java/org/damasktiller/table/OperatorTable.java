package org.damasktiller.table;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.util.List;
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

    /**
     * Creates a table.
     *
     * @param version the version
     * @param rows the rows by kind
     */
    private OperatorTable(long version, ImmutableMap<KindName, KindOfWork> rows) {
        this.version = version;
        this.rows = rows;
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
        return new OperatorTable(version, byName.buildOrThrow());
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
     * Computes a digest of version and rows, equal on all members that hold the same table.
     *
     * @return the digest
     */
    public long digest() {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(version)
                .putBytes(TableWriter.write(this))
                .hash()
                .asLong();
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
