package org.damasktiller.lab.soak;

import java.util.List;
import java.util.Objects;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.rig.EntryVmProcess;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Shuts down the entry VM that owns the cell, gracefully and again and again, so that ownership
 * changes in series. The soak starts each of them again once its process has ended.
 */
final class OwnerRestartFault implements Fault {

    /** The minimum time between two shutdowns, in milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 1_500;

    /** The exclusive upper bound of the random time added to this minimum, in milliseconds. */
    private static final int EXTRA_INTERVAL_BOUND_MILLIS = 1_001;

    /** The time until an owner is looked for again if none can be shut down, in milliseconds. */
    private static final long RETRY_INTERVAL_MILLIS = 100;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** Draws the intervals. */
    private final RandomGenerator random;

    /** The deployment whose owners are shut down. */
    private final LocalDeployment deployment;

    /** Whether the fault has ended. */
    private boolean ended;

    /**
     * Creates a fault.
     *
     * @param runtime the clock and timers of the event loop
     * @param random draws the intervals
     * @param deployment the deployment whose owners are shut down
     */
    OwnerRestartFault(ProcessRuntime runtime, RandomGenerator random, LocalDeployment deployment) {
        this.runtime = runtime;
        this.random = random;
        this.deployment = deployment;
    }

    @Override
    public void begin() {
        shutDownNext();
    }

    @Override
    public void end() {
        ended = true;
    }

    @Override
    public String describe() {
        return "owners restart in series";
    }

    /** Shuts down an owner if one can be found, and schedules the next shutdown. */
    private void shutDownNext() {
        if (ended) {
            return;
        }
        EntryVmProcess owner = findOwner();
        if (owner == null) {
            runtime.schedule(RETRY_INTERVAL_MILLIS, this::shutDownNext);
            return;
        }
        owner.sendSignal("TERM");
        runtime.schedule(
                MIN_INTERVAL_MILLIS + random.nextInt(EXTRA_INTERVAL_BOUND_MILLIS),
                this::shutDownNext);
    }

    /**
     * Finds the entry VM that owns the cell, of which the soak has one, if another one stays.
     *
     * @return the entry VM, or null if there is none at the moment
     */
    private @Nullable EntryVmProcess findOwner() {
        List<StoreItem> owners = deployment.store().list(CellKeys.OWNER_PREFIX, "").items();
        List<EntryVmProcess> staying =
                deployment.entryVms().stream().filter(OwnerRestartFault::isStaying).toList();
        if (owners.isEmpty() || staying.size() < 2) {
            return null;
        }
        OwnerRecord owner =
                Objects.requireNonNull(
                        StoredValueCodec.decode(owners.get(0).value(), OwnerRecord.class),
                        "owner record");
        return staying.stream()
                .filter(entryVm -> entryVm.name().equals(owner.node()))
                .findFirst()
                .orElse(null);
    }

    /**
     * Returns whether an entry VM is running and was not requested to terminate.
     *
     * @param entryVm the entry VM
     * @return whether it stays
     */
    private static boolean isStaying(EntryVmProcess entryVm) {
        return entryVm.isAlive() && !entryVm.terminationRequested();
    }
}
