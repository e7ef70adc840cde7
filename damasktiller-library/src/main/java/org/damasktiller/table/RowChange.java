package org.damasktiller.table;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.identity.KindName;
import org.jspecify.annotations.Nullable;

/**
 * Describes how an edit changes one row.
 *
 * @param kind the key of the row
 * @param before the row before the edit, or null if it did not exist or was left out
 * @param after the row after the edit, or null if the edit removes it
 */
public record RowChange(KindName kind, @Nullable KindOfWork before, @Nullable KindOfWork after) {

    /**
     * Describes the change for operators, listing each changed cell.
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
     * Returns the change without the row before the edit.
     *
     * @return the change as sent between nodes
     */
    RowChange withoutBefore() {
        return new RowChange(kind, null, after);
    }
}
