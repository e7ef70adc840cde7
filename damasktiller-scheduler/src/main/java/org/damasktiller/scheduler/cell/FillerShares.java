package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.StepSpec;

/** Adds up what the fillers of a worker work, by image. */
final class FillerShares {

    /** Prevents instantiation. */
    private FillerShares() {}

    /**
     * Adds up what the fillers of a worker work at the shares that the worker has told.
     *
     * @param worker the worker
     * @return the processors by image, as parts of the worker's
     */
    static Map<String, Double> present(WorkerRecord worker) {
        Map<String, Double> shares = new HashMap<>();
        for (RunRecord run : worker.runs.values()) {
            if (run.filling() && run.task != null) {
                double part = (double) Math.max(0, run.percent) / RunRecord.FULL_PERCENT;
                add(shares, run.task.step.spec, worker, part);
            }
        }
        return shares;
    }

    /**
     * Adds up what a filler and those that have started since the last look would add to what the
     * fillers of a worker worked then.
     *
     * @param worker the worker
     * @param another the step of the filler
     * @return the processors by image, as parts of the worker's, without images that gain nothing
     */
    static Map<String, Double> added(WorkerRecord worker, StepSpec another) {
        Map<String, Double> shares = new HashMap<>();
        for (RunRecord run : worker.runs.values()) {
            if (run.filling() && run.task != null) {
                add(shares, run.task.step.spec, worker, 1);
            }
        }
        worker.harm.lastShares.forEach((image, share) -> shares.merge(image, -share, Double::sum));
        shares.values().removeIf(share -> share <= 0);
        add(shares, another, worker, 1);
        return shares;
    }

    /**
     * Returns what a filler would work at full share.
     *
     * @param spec its step
     * @param worker the worker
     * @return the processors, as a part of the worker's
     */
    static double of(StepSpec spec, WorkerRecord worker) {
        double capacity = Math.max(1, worker.entry.capacity().cpuMillicores());
        return spec.need().cpuMillicores() / capacity;
    }

    /**
     * Adds a filler.
     *
     * @param shares the sums
     * @param spec the step of the filler
     * @param worker the worker
     * @param part the share at which it works, 0 to 1
     */
    private static void add(
            Map<String, Double> shares, StepSpec spec, WorkerRecord worker, double part) {
        double share = part * of(spec, worker);
        if (share > 0) {
            shares.merge(spec.image(), share, Double::sum);
        }
    }
}
