package org.damasktiller.lab.soak;

import java.util.HashSet;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalWorker;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Lets the capacity of workers shrink, also to nothing and below what runs there, and grow again.
 */
final class CapacityFault implements Fault {

    /** The exclusive upper bound of the time between two changes, in milliseconds. */
    private static final int INTERVAL_BOUND_MILLIS = 1_500;

    /** The parts of its resources that a worker may have. */
    private static final double[] FRACTIONS = {0, 0.25, 0.5, 1, 1, 1};

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** Draws the workers, the capacities and the intervals. */
    private final RandomGenerator random;

    /** The deployment whose workers are affected. */
    private final LocalDeployment deployment;

    /** The workers whose capacity was changed. */
    private final Set<LocalWorker> changed = new HashSet<>();

    /** Whether the fault has ended. */
    private boolean ended;

    /**
     * Creates a fault.
     *
     * @param runtime the clock and timers of the event loop
     * @param random draws the workers, the capacities and the intervals
     * @param deployment the deployment whose workers are affected
     */
    CapacityFault(ProcessRuntime runtime, RandomGenerator random, LocalDeployment deployment) {
        this.runtime = runtime;
        this.random = random;
        this.deployment = deployment;
    }

    @Override
    public void begin() {
        changeNext();
    }

    @Override
    public void end() {
        ended = true;
        changed.forEach(worker -> worker.resize(1));
    }

    @Override
    public String describe() {
        return "capacities shrink and grow";
    }

    /** Changes the capacity of a worker, and schedules the next change. */
    private void changeNext() {
        if (ended) {
            return;
        }
        LocalWorker worker = deployment.workers().get(random.nextInt(deployment.workers().size()));
        worker.resize(FRACTIONS[random.nextInt(FRACTIONS.length)]);
        changed.add(worker);
        runtime.schedule(random.nextInt(INTERVAL_BOUND_MILLIS), this::changeNext);
    }
}
