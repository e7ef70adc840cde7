package org.damasktiller.lab.soak;

import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.lab.link.LinkState;
import org.damasktiller.lab.rig.Rig;
import org.damasktiller.lab.rig.RigWorker;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.standin.metadata.CallFault;

/** Draws faults of every kind. */
final class FaultDraw {

    /** The longest delay of a slow link, in milliseconds. */
    private static final int LONGEST_DELAY_MILLIS = 1_500;

    /** How long a worker drains before it leaves, in milliseconds. */
    private static final long DRAIN_MILLIS = 3_000;

    /** The most routes that a manifest adds. */
    private static final int MOST_ROUTES = 300;

    /** The states of a link that harm it. */
    private static final LinkState[] HARMS = {
        LinkState.SLOW, LinkState.REQUESTS_HELD, LinkState.ANSWERS_HELD, LinkState.HELD
    };

    /** The fates of a call that harm it. */
    private static final CallFault[] FATES = {
        CallFault.REFUSED, CallFault.LOST, CallFault.ANSWER_LOST, CallFault.LATE
    };

    /** The signals: a kill, an orderly end, a pause, and a reload. */
    private static final String[] SIGNALS = {"KILL", "TERM", "STOP", "HUP"};

    /** Draws. */
    private final RandomGenerator random;

    /** The deployment. */
    private final Rig rig;

    /** The manifest without added routes. */
    private final Manifest manifest;

    /**
     * Creates a part.
     *
     * @param random draws
     * @param rig the deployment
     * @param manifest the manifest without added routes
     */
    FaultDraw(RandomGenerator random, Rig rig, Manifest manifest) {
        this.random = random;
        this.rig = rig;
        this.manifest = manifest;
    }

    /**
     * Draws a fault.
     *
     * @return the fault, not begun yet
     */
    Fault next() {
        return switch (pick(Kind.values())) {
            case SIGNAL ->
                    new SignalFault(
                            rig.entryVms().get(random.nextInt(rig.entryVms().size())),
                            pick(SIGNALS));
            case STORE_LINK -> {
                int number = random.nextInt(rig.storeLinks().size());
                yield link(rig.storeLinks().get(number), "link of entry-" + number + " to store");
            }
            case WORKER_LINK -> {
                RigWorker worker = worker();
                yield link(worker.link(), "link to " + worker.model().id());
            }
            case STORE_CALLS ->
                    new FateFault(rig.storeFates(), "store", pick(FATES), random.nextDouble());
            case WORKER_CALLS -> {
                RigWorker worker = worker();
                yield new FateFault(
                        worker.fates(), worker.model().id(), pick(FATES), random.nextDouble());
            }
            case WORKER_LIFE -> new WorkerFault(worker(), random.nextBoolean() ? DRAIN_MILLIS : 0);
            case STORE_STATE -> new StoreFault(rig.store(), random.nextBoolean());
            case MANIFEST -> new ManifestFault(rig, manifest, random.nextInt(MOST_ROUTES));
        };
    }

    /**
     * Draws a fault of a link.
     *
     * @param link the link
     * @param name its name
     * @return the fault
     */
    private Fault link(FaultyLink link, String name) {
        if (random.nextBoolean()) {
            return new BreakFault(link, name, pick(BreakFault.Manner.values()));
        }
        return new LinkFault(link, name, pick(HARMS), random.nextInt(LONGEST_DELAY_MILLIS));
    }

    /**
     * Draws a worker.
     *
     * @return the worker
     */
    private RigWorker worker() {
        return rig.workers().get(random.nextInt(rig.workers().size()));
    }

    /**
     * Draws one of several.
     *
     * @param values the values
     * @param <T> their type
     * @return one of them
     */
    private <T> T pick(T[] values) {
        return values[random.nextInt(values.length)];
    }

    /** What a fault is done to. */
    private enum Kind {
        /** The process of an entry VM. */
        SIGNAL,
        /** The link between an entry VM and the store. */
        STORE_LINK,
        /** The link to a worker. */
        WORKER_LINK,
        /** Calls to the store. */
        STORE_CALLS,
        /** Calls to a worker. */
        WORKER_CALLS,
        /** The life of a worker. */
        WORKER_LIFE,
        /** The history and the leases of the store. */
        STORE_STATE,
        /** The manifest. */
        MANIFEST
    }
}
