package org.damasktiller.lab.soak;

import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.lab.link.LinkState;
import org.damasktiller.lab.rig.Rig;
import org.damasktiller.lab.rig.RigWorker;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.standin.metadata.CallFate;

/**
 * Generates random faults of all kinds. The sequence of faults depends on the order of the draws
 * and of the constants and array elements that they select from.
 */
final class FaultDraw {

    /** The exclusive upper bound of the delay of a slow link, in milliseconds. */
    private static final int LONGEST_DELAY_MILLIS = 1_500;

    /** The time that a draining worker announces until it leaves, in milliseconds. */
    private static final long DRAIN_MILLIS = 3_000;

    /** The exclusive upper bound of the number of routes that a manifest adds. */
    private static final int MOST_ROUTES = 300;

    /** The states of a link that are faults. */
    private static final LinkState[] HARMS = {
        LinkState.SLOW, LinkState.REQUESTS_HELD, LinkState.ANSWERS_HELD, LinkState.HELD
    };

    /** The faults that affect calls. */
    private static final CallFate[] FATES = {
        CallFate.REFUSED, CallFate.LOST, CallFate.ANSWER_LOST, CallFate.LATE
    };

    /**
     * The signals: forced termination, graceful shutdown, suspension and reload of the settings.
     */
    private static final String[] SIGNALS = {"KILL", "TERM", "STOP", "HUP"};

    /** Selects the faults and their parameters. */
    private final RandomGenerator random;

    /** The deployment whose components the faults affect. */
    private final Rig rig;

    /** The manifest that is in force without a fault. */
    private final Manifest manifest;

    /**
     * Creates a generator.
     *
     * @param random the random number generator that selects the faults and their parameters
     * @param rig the deployment whose components the faults affect
     * @param manifest the manifest that is in force without a fault
     */
    FaultDraw(RandomGenerator random, Rig rig, Manifest manifest) {
        this.random = random;
        this.rig = rig;
        this.manifest = manifest;
    }

    /**
     * Draws the next fault.
     *
     * @return the fault, which has not begun
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
     * Draws a fault of a link: broken connections or a faulty state.
     *
     * @param link the affected link
     * @param name the name of the link in the report
     * @return the fault
     */
    private Fault link(FaultyLink link, String name) {
        if (random.nextBoolean()) {
            return new BreakFault(link, name, pick(BreakFault.Manner.values()));
        }
        return new LinkFault(link, name, pick(HARMS), random.nextInt(LONGEST_DELAY_MILLIS));
    }

    /**
     * Draws a worker with equal probability for each.
     *
     * @return the worker
     */
    private RigWorker worker() {
        return rig.workers().get(random.nextInt(rig.workers().size()));
    }

    /**
     * Draws one of several values with equal probability for each.
     *
     * @param values the values
     * @param <T> the type of the values
     * @return the drawn value
     */
    private <T> T pick(T[] values) {
        return values[random.nextInt(values.length)];
    }

    /**
     * The components that a fault affects. Their order determines which component a draw selects.
     */
    private enum Kind {
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
