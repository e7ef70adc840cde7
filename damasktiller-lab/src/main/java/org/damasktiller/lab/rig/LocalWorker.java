package org.damasktiller.lab.rig;

import java.util.List;
import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.platform.emulator.PlatformRecordEncoder;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.damasktiller.standin.metadata.InMemoryStore;

/**
 * Manages an emulated worker of a local deployment: its state, the link in front of it, the faults
 * of calls to it and its registration in the store.
 */
public final class LocalWorker {

    /** The number of workers in each rack. */
    private static final int WORKERS_PER_RACK = 4;

    /** The time after which a worker that a run has crashed is back, in milliseconds. */
    private static final long RETURN_DELAY_MILLIS = 3_000;

    /** The time that a worker needs to restart, in milliseconds. */
    private static final long RESTART_DELAY_MILLIS = 1_000;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** The state of the worker. */
    private final SimulatedWorker simulatedWorker;

    /** The link through which entry VMs reach the worker. */
    private final FaultyLink link;

    /** Decides which faults affect calls to the worker. */
    private final RandomFaultPlan faultPlan;

    /** The state of the emulated store. */
    private final InMemoryStore store;

    /** The availability zone of the worker. */
    private final String zone;

    /** The total resources of the worker while they have not shrunk. */
    private final Resources fullCapacity;

    /** The label of the rack that holds the worker. */
    private final String rack;

    /** Whether the worker was last registered as draining. */
    private boolean draining;

    /** Whether the worker has left for good. */
    private boolean left;

    /**
     * Creates a worker that is not registered in the store yet.
     *
     * @param runtime the clock and timers of the event loop
     * @param simulatedWorker the state of the worker
     * @param link the link through which entry VMs reach the worker
     * @param faultPlan decides which faults affect calls to the worker
     * @param store the state of the emulated store
     * @param settings the settings of the deployment
     * @param number the number of the worker, from 0; determines its zone and rack
     */
    LocalWorker(
            ProcessRuntime runtime,
            SimulatedWorker simulatedWorker,
            FaultyLink link,
            RandomFaultPlan faultPlan,
            InMemoryStore store,
            LocalDeploymentSettings settings,
            int number) {
        this.runtime = runtime;
        this.simulatedWorker = simulatedWorker;
        this.link = link;
        this.faultPlan = faultPlan;
        this.store = store;
        this.fullCapacity = settings.capacity();
        simulatedWorker.onCrashByRun(this::restartAfterCrash);
        List<String> zones = List.copyOf(settings.zones().keySet());
        this.zone = zones.get(number % zones.size());
        this.rack =
                "rack-" + number % zones.size() + '-' + number / zones.size() / WORKERS_PER_RACK;
    }

    /**
     * Returns the state of the worker.
     *
     * @return the state
     */
    public SimulatedWorker simulatedWorker() {
        return simulatedWorker;
    }

    /**
     * Returns the link through which entry VMs reach the worker.
     *
     * @return the link
     */
    public FaultyLink link() {
        return link;
    }

    /**
     * Returns the plan that decides which faults affect calls to the worker.
     *
     * @return the plan
     */
    public RandomFaultPlan faultPlan() {
        return faultPlan;
    }

    /**
     * Returns the availability zone of the worker.
     *
     * @return the name of the zone
     */
    public String zone() {
        return zone;
    }

    /**
     * Returns whether the worker may get new work.
     *
     * @return true if it is running and not draining
     */
    public boolean isUsable() {
        return simulatedWorker.isAlive() && !draining;
    }

    /**
     * Writes the registration of the worker to the store, replacing an earlier one. Has no effect
     * if the worker has left for good.
     *
     * @param isDraining whether the worker is about to leave and must not get new work
     * @param remainingMillis the minimum time until a draining worker leaves, in milliseconds; 0 if
     *     it is not draining
     */
    public void register(boolean isDraining, long remainingMillis) {
        if (left) {
            return;
        }
        draining = isDraining;
        WorkerEntry entry =
                new WorkerEntry(
                        simulatedWorker.id(),
                        LocalDeployment.SERVICE,
                        link.address(),
                        zone,
                        draining,
                        remainingMillis,
                        simulatedWorker.capacity(),
                        List.of("standard", rack),
                        simulatedWorker.bootUnixMillis(),
                        0);
        store.commit(
                new StoreTransaction()
                        .put(registrationKey(), PlatformRecordEncoder.encodeWorker(entry)));
    }

    /**
     * Crashes the worker. Its active runs end, its registration is removed from the store, and its
     * link refuses connections.
     */
    public void crash() {
        link.setRefusing(true);
        simulatedWorker.crash();
        store.commit(new StoreTransaction().remove(registrationKey()));
    }

    /**
     * Boots a crashed worker under its previous identifier and registers it. Has no effect if the
     * worker is running or has left for good.
     */
    public void bootIfCrashed() {
        if (!left && !simulatedWorker.isAlive()) {
            simulatedWorker.boot();
            link.setRefusing(false);
            register(false, 0);
        }
    }

    /**
     * Changes the total resources of the worker, which its registration shows. Its runs go on.
     *
     * @param fraction the part of the full resources that is left, 0 to 1
     */
    public void resize(double fraction) {
        simulatedWorker.resize(
                new Resources(
                        (long) (fullCapacity.cpuMillicores() * fraction),
                        (long) (fullCapacity.memoryMb() * fraction),
                        (long) (fullCapacity.accelerators() * fraction)));
        if (simulatedWorker.isAlive()) {
            register(draining, draining ? RESTART_DELAY_MILLIS : 0);
        }
    }

    /** Lets the worker return after a run has crashed it. */
    private void restartAfterCrash() {
        crash();
        runtime.schedule(RETURN_DELAY_MILLIS, this::bootIfCrashed);
    }

    /** Ends the worker for good: it crashes, and never boots or registers again. */
    void leave() {
        crash();
        left = true;
    }

    /** Crashes the worker and boots it again after the time that a restart takes. */
    public void restart() {
        crash();
        runtime.schedule(RESTART_DELAY_MILLIS, this::bootIfCrashed);
    }

    /**
     * Returns the key of the worker's registration in the store.
     *
     * @return the key
     */
    private String registrationKey() {
        return LocalDeployment.RECORD_DECODER.workerKeyPrefix() + simulatedWorker.id();
    }
}
