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

/** Holds one version of the operators' table. Immutable and therefore thread-safe. */
public final class OperatorTable {

    /** The table before the first edit. */
    public static final OperatorTable EMPTY = of(0, List.of());

    /** The version, which each accepted edit increases by one. */
    private final long version;

    /** The rows by kind, in the order chosen by the operators. */
    private final ImmutableMap<KindName, KindOfWork> rows;

    /**
     * The sum of the hashes of the rows; changes update it without hashing the other rows again.
     */
    private final long rowHashSum;

    /**
     * Creates a table.
     *
     * @param version the version, not negative
     * @param rows the rows by kind
     * @param rowHashSum the sum of the hashes of the rows
     */
    private OperatorTable(long version, ImmutableMap<KindName, KindOfWork> rows, long rowHashSum) {
        this.version = version;
        this.rows = rows;
        this.rowHashSum = rowHashSum;
    }

    /**
     * Creates a table.
     *
     * @param version the version, not negative
     * @param rows the rows in the order chosen by the operators, one per kind
     * @return the table
     * @throws IllegalArgumentException if a kind occurs twice or the version is negative
     */
    public static OperatorTable of(long version, List<KindOfWork> rows) {
        if (version < 0) {
            throw new IllegalArgumentException("the version must not be negative");
        }
        ImmutableMap.Builder<KindName, KindOfWork> byName = ImmutableMap.builder();
        rows.forEach(row -> byName.put(row.name(), row));
        long hashSum = rows.stream().mapToLong(OperatorTable::hashRow).sum();
        return new OperatorTable(version, byName.buildOrThrow(), hashSum);
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
     * @return the rows in the order chosen by the operators
     */
    public ImmutableList<KindOfWork> rows() {
        return rows.values().asList();
    }

    /**
     * Finds the row of a kind.
     *
     * @param name the kind
     * @return the row, or empty if the table has no row of this kind
     */
    public Optional<KindOfWork> row(KindName name) {
        return Optional.ofNullable(rows.get(name));
    }

    /**
     * Computes a digest of version and rows, by which processes check that they hold the same
     * table. The digest does not depend on the order of the rows.
     *
     * @return the digest
     */
    public long digest() {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(version)
                .putLong(rowHashSum)
                .hash()
                .asLong();
    }

    /**
     * Applies the delta that leads to the next version.
     *
     * @param delta the complete delta of the next version
     * @return the table of the next version
     * @throws IllegalArgumentException if the delta is not complete or is not that of the next
     *     version
     */
    public OperatorTable apply(TableDelta delta) {
        if (delta.version() != version + 1 || !delta.complete()) {
            throw new IllegalArgumentException(
                    "not the complete delta that follows version " + version);
        }
        return withChanges(delta.version(), delta.changes());
    }

    /**
     * Reverts the delta that led to this version. Rows that the edit removed are appended at the
     * end, since a delta does not hold their position.
     *
     * @param delta the complete delta of this version, with the rows before the edit
     * @return the table of the previous version
     */
    OperatorTable undo(TableDelta delta) {
        return withChanges(
                delta.version() - 1,
                delta.changes().stream()
                        .map(change -> new RowChange(change.kind(), null, change.before()))
                        .toList());
    }

    /**
     * Returns a copy of this table with some rows replaced, removed or added. New rows are appended
     * at the end.
     *
     * @param newVersion the version of the result
     * @param changes the changes, of which only the rows after the change are used
     * @return the changed table
     */
    OperatorTable withChanges(long newVersion, List<RowChange> changes) {
        Map<KindName, KindOfWork> changed = new LinkedHashMap<>(rows);
        long hashSum = rowHashSum;
        for (RowChange change : changes) {
            KindOfWork after = change.after();
            KindOfWork before =
                    after == null
                            ? changed.remove(change.kind())
                            : changed.put(change.kind(), after);
            hashSum -= before == null ? 0 : hashRow(before);
            hashSum += after == null ? 0 : hashRow(after);
        }
        return new OperatorTable(newVersion, ImmutableMap.copyOf(changed), hashSum);
    }

    /**
     * Hashes the kind and the cell texts of a row.
     *
     * @param row the row
     * @return the hash
     */
    private static long hashRow(KindOfWork row) {
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
