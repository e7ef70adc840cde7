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
     * Adds up what the fillers of a worker would work at full share, with one more.
     *
     * @param worker the worker
     * @param another the step of one more filler
     * @return the processors by image, as parts of the worker's
     */
    static Map<String, Double> with(WorkerRecord worker, StepSpec another) {
        Map<String, Double> shares = new HashMap<>();
        for (RunRecord run : worker.runs.values()) {
            if (run.filling() && run.task != null) {
                add(shares, run.task.step.spec, worker, 1);
            }
        }
        add(shares, another, worker, 1);
        return shares;
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
        double capacity = Math.max(1, worker.entry.capacity().cpuMillicores());
        double share = part * spec.need().cpuMillicores() / capacity;
        if (share > 0) {
            shares.merge(spec.image(), share, Double::sum);
        }
    }
}
