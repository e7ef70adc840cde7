package org.damasktiller.lab.soak;

import org.damasktiller.lab.load.EvacuationChecker;
import org.damasktiller.lab.rig.LocalDeployment;

/** Evacuates a zone, and takes it back when the fault ends. */
final class EvacuationFault implements Fault {

    /** The deployment whose zone is evacuated. */
    private final LocalDeployment deployment;

    /** Checks that the zone gets no starts. */
    private final EvacuationChecker checker;

    /** The name of the zone. */
    private final String zone;

    /**
     * Creates a fault.
     *
     * @param deployment the deployment whose zone is evacuated
     * @param checker checks that the zone gets no starts
     * @param zone the name of the zone
     */
    EvacuationFault(LocalDeployment deployment, EvacuationChecker checker, String zone) {
        this.deployment = deployment;
        this.checker = checker;
        this.zone = zone;
    }

    @Override
    public void begin() {
        deployment.setEvacuated(zone, true);
        checker.onEvacuated(zone);
    }

    @Override
    public void end() {
        checker.onTakenBack(zone);
        deployment.setEvacuated(zone, false);
    }

    @Override
    public String describe() {
        return "evacuation of " + zone;
    }
}
