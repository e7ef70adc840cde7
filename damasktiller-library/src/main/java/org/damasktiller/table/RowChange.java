package org.damasktiller.table;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.identity.KindName;
import org.jspecify.annotations.Nullable;

/**
 * Holds the change of one row.
 *
 * @param kind the key of the row
 * @param before the row before, or null if it was absent or is not told
 * @param after the row after, or null if it was removed
 */
public record RowChange(KindName kind, @Nullable KindOfWork before, @Nullable KindOfWork after) {

    /**
     * Describes the change for operators, cell by cell.
     *
     * @return the description, such as {@code billing: weight 3 -> 5}
     */
    public String describe() {
        if (before == null) {
            return kind + (after == null ? ": absent" : ": added");
        }
        if (after == null) {
            return kind + ": removed";
        }
        List<String> cells = new ArrayList<>();
        for (TableColumn<?> column : TableColumns.valueColumns()) {
            String old = column.text(before);
            String changed = column.text(after);
            if (!old.equals(changed)) {
                cells.add(column.header() + " " + old + " -> " + changed);
            }
        }
        return kind + ": " + String.join(", ", cells);
    }

    /**
     * Leaves out the row before.
     *
     * @return the change as it is sent between members
     */
    RowChange withoutBefore() {
        return new RowChange(kind, null, after);
    }
}
