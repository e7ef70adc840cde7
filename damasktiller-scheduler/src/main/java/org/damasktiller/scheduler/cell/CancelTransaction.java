package org.damasktiller.scheduler.cell;

import java.util.List;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/** Builds the transaction that cancels a submission in all cells that have a part of it. */
public final class CancelTransaction {

    /** Prevents instantiation. */
    private CancelTransaction() {}

    /**
     * Creates the transaction. It fails if the record has changed or tasks have moved since.
     *
     * @param id the identifier of the submission
     * @param cancelled the record to write
     * @param recordRevision the revision of the present record
     * @param parts the cells that have a part, or null if no task has moved
     * @param partsRevision the revision of the record of these cells, or {@link StoreItem#ABSENT}
     * @return the transaction
     */
    public static StoreTransaction create(
            String id,
            SubmissionRecord cancelled,
            long recordRevision,
            @Nullable PartsRecord parts,
            long partsRevision) {
        String key = CellKeys.submission(id);
        StoreTransaction commit =
                new StoreTransaction()
                        .expectRevision(key, recordRevision)
                        .expectRevision(CellKeys.parts(id), partsRevision)
                        .put(key, StoredValueCodec.encode(cancelled));
        List<String> cells = parts == null ? List.of(cancelled.cell()) : parts.allCells();
        cells.forEach(cell -> commit.remove(CellKeys.openSubmissionsPrefix(cell) + id));
        if (parts != null) {
            commit.remove(CellKeys.parts(id));
        }
        return commit;
    }
}
