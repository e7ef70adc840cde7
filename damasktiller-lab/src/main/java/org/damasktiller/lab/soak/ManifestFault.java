package org.damasktiller.lab.soak;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.lab.rig.Rig;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;

/**
 * Publishes a manifest with many additional routes, and the original manifest when the fault ends.
 */
final class ManifestFault implements Fault {

    /** The deployment to which the manifests are published. */
    private final Rig rig;

    /** The manifest without the additional routes. */
    private final Manifest base;

    /** The number of additional routes, which may be 0. */
    private final int added;

    /**
     * Creates a fault.
     *
     * @param rig the deployment to which the manifests are published
     * @param base the manifest without the additional routes
     * @param added the number of additional routes, which may be 0
     */
    ManifestFault(Rig rig, Manifest base, int added) {
        this.rig = rig;
        this.base = base;
        this.added = added;
    }

    @Override
    public void begin() {
        List<Route> routes = new ArrayList<>(base.routes());
        Route first = base.routes().get(0);
        for (int number = 0; number < added; number++) {
            routes.add(
                    new Route(
                            "added-" + number,
                            first.host(),
                            "/added-" + number + "/",
                            first.service(),
                            first.priority(),
                            first.maximumAttempts(),
                            first.extension(),
                            first.targetLatencyMillis(),
                            false));
        }
        rig.manifest(base, routes);
    }

    @Override
    public void end() {
        rig.manifest(base, base.routes());
    }

    @Override
    public String describe() {
        return "manifest with " + added + " more routes";
    }
}
