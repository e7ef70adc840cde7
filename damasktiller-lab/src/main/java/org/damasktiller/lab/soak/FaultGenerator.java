package org.damasktiller.lab.soak;

import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.lab.link.LinkState;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalWorker;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.standin.metadata.CallFault;

/**
 * Generates random faults of all kinds. A fault depends on its seed, on the order of the draws and
 * of the constants and array elements that they select from.
 */
final class FaultGenerator {

    /** The exclusive upper bound of the delay of a slow link, in milliseconds. */
    private static final int DELAY_BOUND_MILLIS = 1_500;

    /** The time that a draining worker announces until it leaves, in milliseconds. */
    private static final long DRAIN_NOTICE_MILLIS = 3_000;

    /** The exclusive upper bound of the number of routes that a manifest adds. */
    private static final int ADDED_ROUTES_BOUND = 300;

    /** The states of a link that are faults. */
    private static final LinkState[] FAULTY_LINK_STATES = {
        LinkState.SLOW, LinkState.REQUESTS_HELD, LinkState.ANSWERS_HELD, LinkState.HELD
    };

    /** The faults that affect calls. */
    private static final CallFault[] CALL_FAULTS = {
        CallFault.REFUSED, CallFault.LOST, CallFault.ANSWER_LOST, CallFault.LATE
    };

    /**
     * The signals: forced termination, graceful shutdown, suspension and reload of the settings.
     */
    private static final String[] SIGNALS = {"KILL", "TERM", "STOP", "HUP"};

    /** The deployment whose components the faults affect. */
    private final LocalDeployment deployment;

    /** The manifest that is in force without a fault. */
    private final Manifest manifest;

    /** The workers of the deployment before any was replaced. */
    private final List<LocalWorker> firstWorkers;

    /**
     * Creates a generator.
     *
     * @param deployment the deployment whose components the faults affect
     * @param manifest the manifest that is in force without a fault
     */
    FaultGenerator(LocalDeployment deployment, Manifest manifest) {
        this.deployment = deployment;
        this.manifest = manifest;
        this.firstWorkers = List.copyOf(deployment.workers());
    }

    /**
     * Draws a fault.
     *
     * @param seed the seed of the fault
     * @return the fault, which has not begun
     */
    Fault create(long seed) {
        RandomGenerator random = new Well19937c(seed);
        return switch (drawOne(random, FaultTarget.values())) {
            case SIGNAL ->
                    new SignalFault(
                            deployment.entryVms().get(random.nextInt(deployment.entryVms().size())),
                            drawOne(random, SIGNALS));
            case STORE_LINK -> {
                int number = random.nextInt(deployment.storeLinks().size());
                yield drawLinkFault(
                        random,
                        deployment.storeLinks().get(number),
                        "link of entry-" + number + " to store");
            }
            case WORKER_LINK -> {
                LocalWorker worker = drawWorker(random);
                yield drawLinkFault(
                        random, worker.link(), "link to " + worker.simulatedWorker().id());
            }
            case STORE_CALLS ->
                    new ServiceCallFault(
                            deployment.storeFaultPlan(),
                            "store",
                            drawOne(random, CALL_FAULTS),
                            random.nextDouble());
            case WORKER_CALLS -> {
                LocalWorker worker = drawWorker(random);
                yield new ServiceCallFault(
                        worker.faultPlan(),
                        worker.simulatedWorker().id(),
                        drawOne(random, CALL_FAULTS),
                        random.nextDouble());
            }
            case WORKER_LIFE ->
                    new WorkerFault(
                            drawWorker(random), random.nextBoolean() ? DRAIN_NOTICE_MILLIS : 0);
            case STORE_STATE -> new StoreFault(deployment.store(), random.nextBoolean());
            case MANIFEST ->
                    new ManifestFault(deployment, manifest, random.nextInt(ADDED_ROUTES_BOUND));
        };
    }

    /**
     * Draws a fault of a link: broken connections or a faulty state.
     *
     * @param random the random number generator of the fault
     * @param link the affected link
     * @param name the name of the link in the report
     * @return the fault
     */
    private static Fault drawLinkFault(RandomGenerator random, FaultyLink link, String name) {
        if (random.nextBoolean()) {
            return new ConnectionFault(link, name, drawOne(random, ConnectionFault.Mode.values()));
        }
        return new LinkFault(
                link,
                name,
                drawOne(random, FAULTY_LINK_STATES),
                random.nextInt(DELAY_BOUND_MILLIS));
    }

    /**
     * Draws one of the workers that the deployment had at first. All are equally likely.
     *
     * @param random the random number generator of the fault
     * @return the worker, or another one if it has left for good
     */
    private LocalWorker drawWorker(RandomGenerator random) {
        int number = random.nextInt(firstWorkers.size());
        LocalWorker worker = firstWorkers.get(number);
        List<LocalWorker> present = deployment.workers();
        return present.contains(worker) ? worker : present.get(number % present.size());
    }

    /**
     * Draws one of several values. All values are equally likely.
     *
     * @param random the random number generator of the fault
     * @param values the values
     * @param <T> the type of the values
     * @return the drawn value
     */
    private static <T> T drawOne(RandomGenerator random, T[] values) {
        return values[random.nextInt(values.length)];
    }

    /**
     * The components that a fault may affect. Their order determines which component a draw
     * selects.
     */
    private enum FaultTarget {
        /** The process of an entry VM, by a signal. */
        SIGNAL,
        /** The link between an entry VM and the store. */
        STORE_LINK,
        /** The link to a worker. */
        WORKER_LINK,
        /** The calls to the store. */
        STORE_CALLS,
        /** The calls to a worker. */
        WORKER_CALLS,
        /** A worker, which crashes or drains. */
        WORKER_LIFE,
        /** The history and the leases of the store. */
        STORE_STATE,
        /** The manifest, by additional routes. */
        MANIFEST
    }
}
