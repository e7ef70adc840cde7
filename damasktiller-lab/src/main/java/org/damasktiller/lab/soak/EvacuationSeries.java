package org.damasktiller.lab.soak;

import java.util.List;
import java.util.function.ObjLongConsumer;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.load.EvacuationChecker;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalWorker;
import org.damasktiller.platform.emulator.PlatformRecordEncoder;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.standin.fleet.RunObserver;
import org.jspecify.annotations.Nullable;

/** Evacuates zones one after the other during a soak, and checks that they get no starts. */
final class EvacuationSeries {

    /** Separates the generator of evacuations from the others of a seed. */
    private static final long SEED_MASK = 0x3a3a3a3a3a3a3a3aL;

    /** The time before the first evacuation and between two of them, in milliseconds. */
    private static final long GAP_MILLIS = 1_500;

    /** The minimum duration of an evacuation, in milliseconds. */
    private static final long MIN_DURATION_MILLIS = 7_000;

    /** The exclusive upper bound of the random time added to this minimum, in milliseconds. */
    private static final int EXTRA_DURATION_BOUND_MILLIS = 15_000;

    /** The longest time after which a faulty call may still be carried out, in milliseconds. */
    private static final long LATE_CALL_MILLIS = 13_000;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** Draws the zones and the durations. */
    private final RandomGenerator random;

    /** Detects starts in evacuated zones. */
    private final EvacuationChecker checker;

    /** The deployment whose zones are evacuated, or null before the start. */
    private @Nullable LocalDeployment deployment;

    /**
     * Creates a series that has not started.
     *
     * @param runtime the clock and timers of the event loop
     * @param seed the seed of the soak
     * @param planned whether no call is carried out late
     * @param observer receives the events of all runs
     */
    EvacuationSeries(ProcessRuntime runtime, long seed, boolean planned, RunObserver observer) {
        this.runtime = runtime;
        this.random = new Well19937c(seed ^ SEED_MASK);
        this.checker =
                new EvacuationChecker(
                        runtime,
                        observer,
                        this::zoneOfWorker,
                        PlatformRecordEncoder.EVACUATION_BOUND_MILLIS
                                + (planned ? 0 : LATE_CALL_MILLIS));
    }

    /**
     * Returns the observer of the runs, which detects starts in evacuated zones.
     *
     * @return the checker
     */
    EvacuationChecker checker() {
        return checker;
    }

    /**
     * Schedules the evacuations.
     *
     * @param evacuated the deployment whose zones are evacuated
     * @param beginFault begins a fault that ends after a number of milliseconds
     * @param endMillis when the last evacuation begins at the latest, in milliseconds
     */
    void start(LocalDeployment evacuated, ObjLongConsumer<Fault> beginFault, long endMillis) {
        deployment = evacuated;
        runtime.schedule(GAP_MILLIS, () -> beginNext(evacuated, beginFault, endMillis));
    }

    /**
     * Evacuates a zone, and schedules the next evacuation after its end.
     *
     * @param evacuated the deployment whose zones are evacuated
     * @param beginFault begins a fault that ends after a number of milliseconds
     * @param endMillis when the last evacuation begins at the latest, in milliseconds
     */
    private void beginNext(
            LocalDeployment evacuated, ObjLongConsumer<Fault> beginFault, long endMillis) {
        if (runtime.nowMillis() >= endMillis) {
            return;
        }
        List<String> zones =
                evacuated.workers().stream().map(LocalWorker::zone).distinct().sorted().toList();
        String zone = zones.get(random.nextInt(zones.size()));
        long durationMillis = MIN_DURATION_MILLIS + random.nextInt(EXTRA_DURATION_BOUND_MILLIS);
        beginFault.accept(new EvacuationFault(evacuated, checker, zone), durationMillis);
        runtime.schedule(
                durationMillis + GAP_MILLIS, () -> beginNext(evacuated, beginFault, endMillis));
    }

    /**
     * Returns the zone of a worker.
     *
     * @param id the identifier of the worker
     * @return the name of the zone, or an empty string if the worker is not known
     */
    private String zoneOfWorker(String id) {
        if (deployment == null) {
            return "";
        }
        return deployment.workers().stream()
                .filter(worker -> worker.simulatedWorker().id().equals(id))
                .map(LocalWorker::zone)
                .findFirst()
                .orElse("");
    }
}
