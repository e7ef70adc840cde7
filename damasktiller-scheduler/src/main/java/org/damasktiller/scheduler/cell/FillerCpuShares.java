package org.damasktiller.scheduler.cell;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.scheduler.model.StepSpec;

/** Computes the share of a worker's CPU that its fillers use, by image. */
final class FillerCpuShares {

    /** Prevents instantiation. */
    private FillerCpuShares() {}

    /**
     * Computes the CPU shares that the fillers of a worker use at the limits that the worker has
     * confirmed.
     *
     * @param worker the worker
     * @return the shares by image, as fractions of the worker's CPU
     */
    static Map<String, Double> current(WorkerRecord worker) {
        Map<String, Double> shares = new HashMap<>();
        for (RunRecord run : worker.runs.values()) {
            if (run.isFiller() && run.task != null) {
                add(shares, run.task.step.spec, worker, run.cpuLimitFraction());
            }
        }
        return shares;
    }

    /**
     * Computes the CPU shares that would be added since the last evaluation of a worker if another
     * filler started: those of all its fillers at full limit, less those at the last evaluation.
     *
     * @param worker the worker
     * @param candidate the step of the filler that would start
     * @return the shares by image, as fractions of the worker's CPU; images without an increase are
     *     absent
     */
    static Map<String, Double> addedBy(WorkerRecord worker, StepSpec candidate) {
        Map<String, Double> shares = new HashMap<>();
        for (RunRecord run : worker.runs.values()) {
            if (run.isFiller() && run.task != null) {
                add(shares, run.task.step.spec, worker, 1);
            }
        }
        worker.throttleState.lastCpuShares.forEach(
                (image, share) -> shares.merge(image, -share, Double::sum));
        shares.values().removeIf(share -> share <= 0);
        add(shares, candidate, worker, 1);
        return shares;
    }

    /**
     * Returns the CPU share of a filler at full limit.
     *
     * @param spec the step of the filler
     * @param worker the worker
     * @return the share, as a fraction of the worker's CPU
     */
    static double atFullLimit(StepSpec spec, WorkerRecord worker) {
        double capacity = Math.max(1, worker.entry.capacity().cpuMillicores());
        return spec.need().cpuMillicores() / capacity;
    }

    /**
     * Adds the CPU share of a filler to that of its image.
     *
     * @param shares the shares by image, which are changed
     * @param spec the step of the filler
     * @param worker the worker
     * @param limitFraction the CPU limit of the filler, from 0 to 1
     */
    private static void add(
            Map<String, Double> shares, StepSpec spec, WorkerRecord worker, double limitFraction) {
        double share = limitFraction * atFullLimit(spec, worker);
        if (share > 0) {
            shares.merge(spec.image(), share, Double::sum);
        }
    }
}
