package org.damasktiller.lab.soak;

import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalWorker;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.jspecify.annotations.Nullable;

/**
 * Replaces workers one after the other: a new one starts while another one drains and then leaves
 * for good. Those that drain when the fault ends still leave.
 */
final class WorkerReplacementFault implements Fault {

    /** The minimum time between two replacements, in milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 400;

    /** The exclusive upper bound of the random time added to this minimum, in milliseconds. */
    private static final int EXTRA_INTERVAL_BOUND_MILLIS = 600;

    /** The time that a draining worker announces until it leaves, in milliseconds. */
    private static final long DRAIN_NOTICE_MILLIS = 5_000;

    /** The exclusive upper bound of the time that it stays beyond its notice, in milliseconds. */
    private static final int EXTRA_STAY_BOUND_MILLIS = 600;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** Draws the workers and the intervals. */
    private final RandomGenerator random;

    /** The deployment whose workers are replaced. */
    private final LocalDeployment deployment;

    /** Whether the fault has ended. */
    private boolean ended;

    /**
     * Creates a fault.
     *
     * @param runtime the clock and timers of the event loop
     * @param random draws the workers and the intervals
     * @param deployment the deployment whose workers are replaced
     */
    WorkerReplacementFault(
            ProcessRuntime runtime, RandomGenerator random, LocalDeployment deployment) {
        this.runtime = runtime;
        this.random = random;
        this.deployment = deployment;
    }

    @Override
    public void begin() {
        replaceNext();
    }

    @Override
    public void end() {
        ended = true;
    }

    @Override
    public String describe() {
        return "workers leave for good and new ones come";
    }

    /**
     * Draws a worker to leave: as often one that has runs as any one. The scheduler concentrates
     * runs on few workers, so that most workers have none.
     *
     * @return the worker, or null if none is usable
     */
    private @Nullable LocalWorker drawLeavingWorker() {
        boolean any = random.nextBoolean();
        List<LocalWorker> usable =
                deployment.workers().stream().filter(LocalWorker::isUsable).toList();
        List<LocalWorker> busy =
                usable.stream()
                        .filter(worker -> worker.simulatedWorker().activeRunCount() > 0)
                        .toList();
        List<LocalWorker> candidates = any || busy.isEmpty() ? usable : busy;
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    /** Replaces a worker if one is usable, and schedules the next replacement. */
    private void replaceNext() {
        if (ended) {
            return;
        }
        LocalWorker leaving = drawLeavingWorker();
        if (leaving != null) {
            deployment.addWorker();
            leaving.register(true, DRAIN_NOTICE_MILLIS);
            runtime.schedule(
                    DRAIN_NOTICE_MILLIS + random.nextInt(EXTRA_STAY_BOUND_MILLIS),
                    () -> deployment.removeWorker(leaving));
        }
        runtime.schedule(
                MIN_INTERVAL_MILLIS + random.nextInt(EXTRA_INTERVAL_BOUND_MILLIS),
                this::replaceNext);
    }
}
