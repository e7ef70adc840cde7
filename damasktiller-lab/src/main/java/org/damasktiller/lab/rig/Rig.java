package org.damasktiller.lab.rig;

import io.activej.eventloop.Eventloop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.platform.emulator.LoopbackServer;
import org.damasktiller.platform.emulator.OperatorFormats;
import org.damasktiller.platform.emulator.StoreServlet;
import org.damasktiller.platform.emulator.WorkerServlet;
import org.damasktiller.platform.record.PlatformRecords;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.fleet.RunObserver;
import org.damasktiller.standin.fleet.TaskBehaviour;
import org.damasktiller.standin.fleet.WorkerModel;
import org.damasktiller.standin.metadata.StoreModel;

/**
 * A deployment on one machine: the store and the workers are emulated in this process, each behind
 * a link that takes faults; the entry VMs are processes of their own. Used on its event loop.
 */
public final class Rig {

    /** The name of the workers' service. */
    public static final String SERVICE = "workers";

    /** Names the keys that the operator and the workers write. */
    static final PlatformRecords RECORDS = new PlatformRecords();

    /** How late a late call is carried out, in milliseconds: well after a client gave up. */
    private static final long LATE_MILLIS = 3_000;

    /** The time between two times that the store forgets its history, in milliseconds. */
    private static final long HISTORY_MILLIS = 20_000;

    /** The event loop. */
    private final Eventloop eventloop;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The store. */
    private final StoreModel store;

    /** What becomes of calls to the store. */
    private final SeededFates storeFates;

    /** The workers. */
    private final List<RigWorker> workers = new ArrayList<>();

    /** The entry VMs. */
    private final List<EntryProcess> entryVms = new ArrayList<>();

    /** The version of the manifest in force. */
    private long manifestVersion;

    /** The link of each entry VM to the store. */
    private final List<FaultyLink> storeLinks = new ArrayList<>();

    /**
     * Creates a deployment whose entry VMs are not started yet.
     *
     * @param loop the event loop with its clock
     * @param settings the size
     * @param behaviour tells how the tasks behave
     * @param observer told of each start and end
     * @param random draws what becomes of calls while there are faults
     */
    public Rig(
            LabLoop loop,
            RigSettings settings,
            TaskBehaviour behaviour,
            RunObserver observer,
            RandomGenerator random) {
        eventloop = loop.eventloop();
        runtime = loop.runtime();
        store = new StoreModel(runtime);
        storeFates = new SeededFates(random);
        InetSocketAddress storeAddress =
                LoopbackServer.start(
                        eventloop, new StoreServlet(store, runtime, storeFates, LATE_MILLIS));
        for (int number = 0; number < settings.workers(); number++) {
            WorkerModel model =
                    new WorkerModel(
                            String.format("worker-%03d", number),
                            settings.capacity(),
                            runtime,
                            behaviour,
                            observer);
            SeededFates fates = new SeededFates(random);
            InetSocketAddress address =
                    LoopbackServer.start(
                            eventloop, new WorkerServlet(model, runtime, fates, LATE_MILLIS));
            FaultyLink link = new FaultyLink(eventloop, address);
            RigWorker worker = new RigWorker(runtime, model, link, fates, store, settings, number);
            worker.register(false, 0);
            workers.add(worker);
        }
        List<String> zones = List.copyOf(settings.zones().keySet());
        for (int number = 0; number < settings.entryVms(); number++) {
            FaultyLink link = new FaultyLink(eventloop, storeAddress);
            storeLinks.add(link);
            entryVms.add(
                    new EntryProcess(
                            "entry-" + number,
                            zones.get(number % zones.size()),
                            settings.zones(),
                            link.address(),
                            settings.directory()));
        }
        runtime.schedule(HISTORY_MILLIS, this::forgetHistory);
    }

    /** Starts the programs of the entry VMs; they end with this process, however it ends. */
    public void start() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill, "kill-entry-vms"));
        entryVms.forEach(EntryProcess::start);
    }

    /** Kills the programs that still run. */
    public void kill() {
        entryVms.forEach(EntryProcess::kill);
    }

    /**
     * Puts a manifest in force, under a version above that of every earlier one.
     *
     * @param base the services and limits
     * @param routes the routes
     */
    public void manifest(Manifest base, List<Route> routes) {
        manifestVersion++;
        Manifest next = new Manifest(manifestVersion, routes, base.services(), base.limits());
        store.commit(
                new StoreTransaction().put(RECORDS.manifestKey(), OperatorFormats.manifest(next)));
    }

    /**
     * Returns the store.
     *
     * @return the store
     */
    public StoreModel store() {
        return store;
    }

    /**
     * Returns what becomes of calls to the store.
     *
     * @return the plan
     */
    public SeededFates storeFates() {
        return storeFates;
    }

    /**
     * Returns the workers.
     *
     * @return the workers
     */
    public List<RigWorker> workers() {
        return workers;
    }

    /**
     * Returns the entry VMs.
     *
     * @return the entry VMs
     */
    public List<EntryProcess> entryVms() {
        return entryVms;
    }

    /**
     * Returns the link of each entry VM to the store.
     *
     * @return the links, in the order of the entry VMs
     */
    public List<FaultyLink> storeLinks() {
        return storeLinks;
    }

    /** Forgets the store's history from time to time, so that it does not grow without end. */
    private void forgetHistory() {
        store.compact();
        runtime.schedule(HISTORY_MILLIS, this::forgetHistory);
    }
}
