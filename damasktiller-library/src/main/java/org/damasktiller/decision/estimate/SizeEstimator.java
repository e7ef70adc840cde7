package org.damasktiller.decision.estimate;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.resource.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Estimates what a job of a kind needs from the usage of earlier ones. The declared size counts
 * until enough jobs were seen. A usage at its limit shows only that at least this much is needed,
 * so it counts as a larger one. Not safe for use by several threads.
 */
public final class SizeEstimator {

    /** The weight of observations from which on the declared size no longer counts. */
    private static final double ENOUGH_OBSERVATIONS = 4;

    /** The quantile of memory that is reserved; a job short of memory hardly progresses. */
    private static final double MEMORY_QUANTILE = 0.9;

    /** The quantile of processors that is reserved; a job short of them is only a little slower. */
    private static final double PROCESSOR_QUANTILE = 0.6;

    /** The reports of a job from which on its own peak tells what processors it needs. */
    private static final int ENOUGH_REPORTS = 3;

    /** The standard deviations of the confidence bound. */
    private static final double DEVIATIONS = 1;

    /** The part by which the estimate is raised, divided by the root of the observations. */
    private static final double MARGIN = 0.3;

    /** The half-life of an observation: twelve hours. */
    private static final long HALF_LIFE_MILLIS = 43_200_000;

    /** The least reservation of a job, in thousandths of a processor and in megabytes. */
    private static final long SMALLEST = 10;

    /** The observations of each kind. */
    private final Map<KindName, KindUsage> kinds = new HashMap<>();

    /** The largest usage of each running job. */
    private final Map<JobId, Peak> peaks = new HashMap<>();

    /** Creates an estimator without observations. */
    public SizeEstimator() {}

    /**
     * Records a usage report of a running job. The reports of one job count less and less, so that
     * long jobs do not outweigh short ones.
     *
     * @param job the job
     * @param kind its kind
     * @param used what it used
     * @param reserved what it could use at most
     * @param nowMillis the time, in milliseconds
     */
    public void observe(
            JobId job, KindName kind, Resources used, Resources reserved, long nowMillis) {
        Peak peak = peaks.computeIfAbsent(job, key -> new Peak());
        peak.reports++;
        peak.processors = Math.max(peak.processors, processorsNeeded(used, reserved));
        peak.memory = Math.max(peak.memory, memoryNeeded(used, reserved));
        KindUsage usage = kinds.computeIfAbsent(kind, key -> new KindUsage());
        usage.processors.add(peak.processors, 1.0 / peak.reports, nowMillis);
        usage.memory.add(peak.memory, 1.0 / peak.reports, nowMillis);
    }

    /**
     * Forgets the reports of a job that ended.
     *
     * @param job the job
     */
    public void ended(JobId job) {
        peaks.remove(job);
    }

    /**
     * Returns what to reserve for a new job.
     *
     * @param kind the kind
     * @param declared the declared size
     * @param largest the largest worker, which bounds an observed estimate
     * @param nowMillis the time, in milliseconds
     * @return the estimate; accelerators are as declared
     */
    public Resources estimate(
            KindName kind, Resources declared, Resources largest, long nowMillis) {
        KindUsage usage = kinds.get(kind);
        if (usage == null || usage.memory.count(nowMillis) < ENOUGH_OBSERVATIONS) {
            return declared;
        }
        long processors =
                bound(usage.processors, PROCESSOR_QUANTILE, nowMillis, largest.milliProcessors());
        long memory = bound(usage.memory, MEMORY_QUANTILE, nowMillis, largest.memoryMegabytes());
        return new Resources(processors, memory, declared.accelerators());
    }

    /**
     * Returns what to reserve for a running job: what its own reports show it needs.
     *
     * @param job the job
     * @param reserved what is reserved now
     * @return the new reservation, or null if there is no report yet
     */
    public @Nullable Resources wanted(JobId job, Resources reserved) {
        Peak peak = peaks.get(job);
        if (peak == null) {
            return null;
        }
        return new Resources(
                Math.max(SMALLEST, Math.round(peak.processors)),
                Math.max(SMALLEST, Math.round(peak.memory)),
                reserved.accelerators());
    }

    /**
     * Tells whether a job has reported often enough to judge its processors by its own reports.
     *
     * @param job the job
     * @return whether its peak is known
     */
    public boolean processorsKnown(JobId job) {
        Peak peak = peaks.get(job);
        return peak != null && peak.reports >= ENOUGH_REPORTS;
    }

    /**
     * Returns the upper bound of the quantile with a margin that shrinks with experience.
     *
     * @param histogram the observations
     * @param quantile the quantile
     * @param nowMillis the time, in milliseconds
     * @param largest the largest value that a worker has
     * @return the bound
     */
    private static long bound(
            DecayingHistogram histogram, double quantile, long nowMillis, long largest) {
        double margin = 1 + MARGIN / Math.sqrt(Math.max(1, histogram.count(nowMillis)));
        double value = histogram.upperQuantile(quantile, DEVIATIONS, nowMillis) * margin;
        return Math.min(largest, Math.max(SMALLEST, Math.round(value)));
    }

    /**
     * Returns the processors a report shows to be needed.
     *
     * @param used what was used
     * @param reserved what could be used
     * @return thousandths of a processor
     */
    private static double processorsNeeded(Resources used, Resources reserved) {
        return UsageLimit.needed(used.milliProcessors(), reserved.milliProcessors());
    }

    /**
     * Returns the memory a report shows to be needed.
     *
     * @param used what was used
     * @param reserved what could be used
     * @return megabytes
     */
    private static double memoryNeeded(Resources used, Resources reserved) {
        return UsageLimit.needed(used.memoryMegabytes(), reserved.memoryMegabytes());
    }

    /** Holds the observations of one kind. */
    private static final class KindUsage {

        /** The processors needed. */
        private final DecayingHistogram processors = new DecayingHistogram(HALF_LIFE_MILLIS);

        /** The memory needed. */
        private final DecayingHistogram memory = new DecayingHistogram(HALF_LIFE_MILLIS);

        /** Creates the record of a kind without observations. */
        private KindUsage() {}
    }

    /** Holds the largest usage of one running job. */
    private static final class Peak {

        /** The number of reports. */
        private int reports;

        /** The processors needed. */
        private double processors;

        /** The memory needed. */
        private double memory;

        /** Creates the record of a job without reports. */
        private Peak() {}
    }
}
