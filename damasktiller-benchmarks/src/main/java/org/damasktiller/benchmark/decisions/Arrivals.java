package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.commons.math3.distribution.PoissonDistribution;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.identity.JobId;
import org.damasktiller.resource.Resources;

/** Draws the jobs that arrive. */
final class Arrivals {

    /** One job in this many fails wherever it runs. */
    private static final int JOBS_PER_POISONED = 1000;

    /** One job in this many asks for an accelerator, which no worker has. */
    private static final int JOBS_PER_IMPOSSIBLE = 1000;

    /** The spread of the logarithm of the run time. */
    private static final double RUN_TIME_SPREAD = 0.5;

    /** The spread of the logarithm of the size. */
    private static final double SIZE_SPREAD = 0.15;

    /** The jobs submitted at once in the wave of cancellations. */
    private static final int WAVE_JOBS = 50_000;

    /** The largest number of arrivals of a kind in a second. */
    private static final int MOST_ARRIVALS = 1000;

    /** The accuracy of the drawn numbers of arrivals. */
    private static final double ACCURACY = 1e-9;

    /** The deployment. */
    private final Deployment deployment;

    /** The hidden kinds. */
    private final World world;

    /** The scenario over time. */
    private final Profile profile;

    /** The source of randomness. */
    private final SplittableRandom random;

    /** The source of randomness of the numbers of arrivals. */
    private final Well19937c counts;

    /** The number of jobs so far. */
    private int jobs;

    /**
     * Creates the arrivals of a run.
     *
     * @param deployment the deployment
     * @param world the hidden kinds
     * @param profile the scenario over time
     * @param seed the seed
     */
    Arrivals(Deployment deployment, World world, Profile profile, long seed) {
        this.deployment = deployment;
        this.world = world;
        this.profile = profile;
        this.random = new SplittableRandom(seed);
        this.counts = new Well19937c(seed);
    }

    /**
     * Draws the jobs of a second.
     *
     * @param second the time, in seconds
     * @return the jobs
     */
    List<FakeTask> during(int second) {
        List<FakeTask> arrived = new ArrayList<>();
        double whole = (double) deployment.workers() * deployment.capacity().milliProcessors();
        for (int kind = World.FIRST_BATCH; kind < World.KINDS; kind++) {
            HiddenKind hidden = world.kind(kind);
            double rate = profile.urgentPerSecond(second);
            if (kind != World.URGENT) {
                double mean =
                        hidden.medianSeconds() * Math.exp(RUN_TIME_SPREAD * RUN_TIME_SPREAD / 2);
                double work = mean * hidden.size().milliProcessors();
                rate = profile.batchOffered(kind, second) * whole / work;
            }
            int count =
                    rate == 0
                            ? 0
                            : new PoissonDistribution(counts, rate, ACCURACY, MOST_ARRIVALS)
                                    .sample();
            for (int each = 0; each < count; each++) {
                arrived.add(draw(kind, second));
            }
        }
        return arrived;
    }

    /**
     * Draws the jobs that are submitted at once and cancelled later.
     *
     * @param second the time, in seconds
     * @return the jobs
     */
    List<FakeTask> wave(int second) {
        List<FakeTask> arrived = new ArrayList<>();
        for (int each = 0; each < WAVE_JOBS; each++) {
            arrived.add(draw(World.FIRST_BATCH, second));
        }
        return arrived;
    }

    /**
     * Draws a job.
     *
     * @param kind the position of its kind
     * @param second the time, in seconds
     * @return the job
     */
    private FakeTask draw(int kind, int second) {
        HiddenKind hidden = world.kind(kind);
        double arrived = second + random.nextDouble();
        double factor = Math.exp(SIZE_SPREAD * random.nextGaussian());
        long processors = Math.round(hidden.size().milliProcessors() * factor);
        long memory = Math.round(hidden.size().memoryMegabytes() * factor);
        double run = hidden.medianSeconds() * Math.exp(RUN_TIME_SPREAD * random.nextGaussian());
        boolean batch = kind != World.URGENT;
        boolean poisoned = batch && random.nextInt(JOBS_PER_POISONED) == 0;
        boolean impossible = batch && random.nextInt(JOBS_PER_IMPOSSIBLE) == 0;
        Resources declared = hidden.row().declared();
        if (impossible) {
            declared = declared.plus(new Resources(0, 0, 1));
        }
        PendingJob job =
                new PendingJob(
                        new JobId("job-" + ++jobs),
                        hidden.row().name(),
                        declared,
                        Math.round(arrived * 1000));
        Resources size = new Resources(processors, memory, 0);
        return new FakeTask(job, kind, size, run, poisoned || impossible, arrived);
    }
}
