package org.damasktiller.lab.soak;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;

/**
 * Publishes a manifest with many additional routes, and the original manifest when the fault ends.
 */
final class ManifestFault implements Fault {

    /** The deployment to which the manifests are published. */
    private final LocalDeployment deployment;

    /** The manifest without the additional routes. */
    private final Manifest baseManifest;

    /** The number of additional routes, which may be 0. */
    private final int addedRoutes;

    /**
     * Creates a fault.
     *
     * @param deployment the deployment to which the manifests are published
     * @param baseManifest the manifest without the additional routes
     * @param addedRoutes the number of additional routes, which may be 0
     */
    ManifestFault(LocalDeployment deployment, Manifest baseManifest, int addedRoutes) {
        this.deployment = deployment;
        this.baseManifest = baseManifest;
        this.addedRoutes = addedRoutes;
    }

    @Override
    public void begin() {
        List<Route> routes = new ArrayList<>(baseManifest.routes());
        Route first = baseManifest.routes().get(0);
        for (int number = 0; number < addedRoutes; number++) {
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
        deployment.publishManifest(baseManifest, routes);
    }

    @Override
    public void end() {
        deployment.publishManifest(baseManifest, baseManifest.routes());
    }

    @Override
    public String describe() {
        return "manifest with " + addedRoutes + " more routes";
    }
}
