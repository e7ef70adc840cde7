package org.damasktiller.node.caller;

import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.StoreStatus;

/** Refuses submissions to cells whose owners have no memory for them. */
final class FullCellCheck {

    /** The store. */
    private final MetadataStore store;

    /** Tells whether the owners of cells have memory for further submissions. */
    private final CellAdmission admission;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a check.
     *
     * @param store the store
     * @param admission tells whether the owners of cells have memory for further submissions
     * @param log the log
     */
    FullCellCheck(MetadataStore store, CellAdmission admission, DecisionLog log) {
        this.store = store;
        this.admission = admission;
        this.log = log;
    }

    /**
     * Refuses a submission to a full cell, unless the store has a record of it or does not tell
     * whether it has: what is stored runs, so that a refusal would be untrue.
     *
     * @param request the request
     * @param cell the name of the cell
     * @param bytes the memory that the submission will take of the owner of the cell, in bytes
     * @param write writes the submission, or finds the record that is there
     * @param callback receives the refusal
     */
    void check(
            CallerRequest request,
            String cell,
            long bytes,
            Runnable write,
            Consumer<CallerResponse> callback) {
        if (admission.admits(cell, bytes)) {
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
                                cell,
                                "bytes",
                                bytes);
                        callback.accept(CallerResponse.cellFull());
                    } else {
                        write.run();
                    }
                });
    }
}
