package org.damasktiller.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Holds the changed rows between two versions of the table, as they are sent between members. */
public final class TableChanges {

    /** Stands for the identity and the operator, which members do not need. */
    private static final EditId NO_EDIT = new EditId("-");

    /** The changed rows, without the rows before. */
    private final List<RowChange> changes;

    /**
     * Creates changes.
     *
     * @param changes the changed rows
     */
    private TableChanges(List<RowChange> changes) {
        this.changes = List.copyOf(changes);
    }

    /**
     * Computes the changes between two tables.
     *
     * @param before the earlier table
     * @param after the later table
     * @return the changes
     */
    public static TableChanges between(OperatorTable before, OperatorTable after) {
        List<RowChange> changes = new ArrayList<>();
        for (KindOfWork row : after.rows()) {
            if (!Objects.equals(before.row(row.name()).orElse(null), row)) {
                changes.add(new RowChange(row.name(), null, row));
            }
        }
        for (KindOfWork row : before.rows()) {
            if (after.row(row.name()).isEmpty()) {
                changes.add(new RowChange(row.name(), null, null));
            }
        }
        return new TableChanges(changes);
    }

    /**
     * Decodes changes.
     *
     * @param bytes the bytes
     * @return the changes
     * @throws org.damasktiller.error.DamasktillerException with code PROTOCOL_ERROR or BAD_TABLE if
     *     the bytes are not changes
     */
    public static TableChanges decode(byte[] bytes) {
        List<RowChange> changes = new ArrayList<>();
        TableCodec.decodeDeltas(bytes).forEach(delta -> changes.addAll(delta.changes()));
        return new TableChanges(changes);
    }

    /**
     * Encodes the changes.
     *
     * @return the bytes
     */
    public byte[] encode() {
        return TableCodec.encodeDeltas(List.of(new TableDelta(0, NO_EDIT, "", 0, true, changes)));
    }

    /**
     * Applies the changes.
     *
     * @param table the earlier table
     * @param version the version of the later table
     * @return the later table
     */
    public OperatorTable applyTo(OperatorTable table, long version) {
        return table.with(version, changes);
    }
}
