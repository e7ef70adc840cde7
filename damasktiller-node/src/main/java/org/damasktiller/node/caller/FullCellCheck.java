package org.damasktiller.node.caller;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.StoreStatus;

/** Refuses submissions to cells whose owners have no memory for them. */
final class FullCellCheck {

    /** The store. */
    private final MetadataStore store;

    /** Tells of a cell by its name whether its owner has no memory for further submissions. */
    private final Predicate<String> fullCells;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a check.
     *
     * @param store the store
     * @param fullCells tells of a cell by its name whether its owner has no memory for further
     *     submissions
     * @param log the log
     */
    FullCellCheck(MetadataStore store, Predicate<String> fullCells, DecisionLog log) {
        this.store = store;
        this.fullCells = fullCells;
        this.log = log;
    }

    /**
     * Refuses a submission to a full cell, unless the store has a record of it or does not tell
     * whether it has: what is stored runs, so that a refusal would be untrue.
     *
     * @param request the request
     * @param cell the name of the cell
     * @param write writes the submission, or finds the record that is there
     * @param callback receives the refusal
     */
    void check(
            CallerRequest request, String cell, Runnable write, Consumer<CallerResponse> callback) {
        if (!fullCells.test(cell)) {
            write.run();
            return;
        }
        store.read(
                CellKeys.submission(request.id()),
                result -> {
                    if (result.status() == StoreStatus.ABSENT) {
                        log.log(
                                "submission.cell-full",
                                "id",
                                request.id(),
                                "route",
                                request.route().name(),
                                "cell",
                                cell);
                        callback.accept(CallerResponse.cellFull());
                    } else {
                        write.run();
                    }
                });
    }
}
