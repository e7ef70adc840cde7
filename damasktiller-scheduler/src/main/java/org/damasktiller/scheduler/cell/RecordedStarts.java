package org.damasktiller.scheduler.cell;

import java.util.Collection;
import org.damasktiller.scheduler.crash.RecordedStart;
import org.jspecify.annotations.Nullable;

/** Creates records of starts, and finds out from the workers what became of them. */
final class RecordedStarts {

    /** Prevents instantiation. */
    private RecordedStarts() {}

    /**
     * Creates the record of a start that was not sent yet.
     *
     * @param worker the worker
     * @param generation the generation of the owner
     * @return the record
     */
    static RecordedStart of(WorkerRecord worker, long generation) {
        return new RecordedStart(
                worker.id, worker.addressText(), worker.bootUnixMillis, false, false, generation);
    }

    /**
     * Returns whether the worker of a recorded start has crashed since.
     *
     * @param start the start
     * @param workers the workers of the cell
     * @return whether it answers with a later boot, or another worker answers at its address
     */
    static boolean hasCrashed(RecordedStart start, Collection<WorkerRecord> workers) {
        for (WorkerRecord worker : workers) {
            if (!worker.fenced) {
                continue;
            }
            boolean rebooted =
                    worker.id.equals(start.worker())
                            && start.bootUnixMillis() > 0
                            && worker.bootUnixMillis > start.bootUnixMillis();
            boolean replaced =
                    !worker.id.equals(start.worker())
                            && worker.addressText().equals(start.address());
            if (rebooted || replaced) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the worker of a recorded start answers in the same boot.
     *
     * @param start the start
     * @param worker its worker, or null if the owner does not know it
     * @return whether it has not crashed
     */
    static boolean isAlive(RecordedStart start, @Nullable WorkerRecord worker) {
        return worker != null && worker.fenced && worker.bootUnixMillis == start.bootUnixMillis();
    }
}
