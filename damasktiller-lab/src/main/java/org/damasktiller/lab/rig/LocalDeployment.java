package org.damasktiller.lab.rig;

import io.activej.eventloop.Eventloop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.lab.link.FaultyLink;
import org.damasktiller.platform.emulator.LoopbackServer;
import org.damasktiller.platform.emulator.PlatformRecordEncoder;
import org.damasktiller.platform.emulator.StoreServlet;
import org.damasktiller.platform.emulator.WorkerServlet;
import org.damasktiller.platform.record.JsonPlatformRecordDecoder;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.fleet.RunObserver;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.damasktiller.standin.fleet.TaskBehaviour;
import org.damasktiller.standin.metadata.InMemoryStore;

/**
 * Runs a deployment on the local machine. The store and the workers are emulated in this process,
 * and links inject faults between the entry VMs and the store and in front of each worker. The
 * entry VMs run in processes of their own. Not thread-safe: faults and manifests must be applied on
 * the event loop.
 */
public final class LocalDeployment {

    /** The name of the service that all workers belong to. */
    public static final String SERVICE = "workers";

    /** Provides the keys of the records that the operator and the workers write to the store. */
    static final JsonPlatformRecordDecoder RECORD_DECODER = new JsonPlatformRecordDecoder();

    /**
     * The delay after which a late call is executed, in milliseconds; long enough that the client
     * has given up by then.
     */
    private static final long LATE_CALL_DELAY_MILLIS = 3_000;

    /** The interval between two compactions of the store's history, in milliseconds. */
    private static final long COMPACTION_INTERVAL_MILLIS = 20_000;

    /** The event loop of the emulated services and their links. */
    private final Eventloop eventloop;

    /** The clock and timers of the event loop. */
    private final ProcessRuntime runtime;

    /** The state of the emulated store. */
    private final InMemoryStore store;

    /** Decides which faults affect calls to the store. */
    private final RandomFaultPlan storeFaultPlan;

    /** The size of the deployment and the directory of its files. */
    private final LocalDeploymentSettings settings;

    /** Determines the resources, the duration and the outcome of runs. */
    private final TaskBehaviour behaviour;

    /** Notified of each start, end and acknowledgement of a run. */
    private final RunObserver observer;

    /** Selects the faults of calls. */
    private final RandomGenerator random;

    /** The emulated workers that have not left for good. */
    private final List<LocalWorker> workers = new ArrayList<>();

    /** The number of workers that were ever added. */
    private int addedWorkers;

    /** The zones that are evacuated. */
    private final Set<String> evacuatedZones = new HashSet<>();

    /** The processes of the entry VMs. */
    private final List<EntryVmProcess> entryVms = new ArrayList<>();

    /** Kills these processes if this JVM exits before they are killed. */
    private final Thread killHook = new Thread(this::killProcesses, "kill-entry-vms");

    /** The version of the manifest that was published last, 0 before the first. */
    private long manifestVersion;

    /** The links to the store, one for each entry VM. */
    private final List<FaultyLink> storeLinks = new ArrayList<>();

    /**
     * Starts the emulated services and registers the workers. The entry VMs are not started yet.
     *
     * @param loop the event loop with its clock and timers
     * @param settings the size of the deployment and the directory of its files
     * @param behaviour determines the resources, the duration and the outcome of runs
     * @param observer notified of each start, end and acknowledgement of a run
     * @param random the random number generator that selects the faults of calls
     */
    public LocalDeployment(
            LabEventLoop loop,
            LocalDeploymentSettings settings,
            TaskBehaviour behaviour,
            RunObserver observer,
            RandomGenerator random) {
        this.settings = settings;
        this.behaviour = behaviour;
        this.observer = observer;
        this.random = random;
        eventloop = loop.eventloop();
        runtime = loop.runtime();
        store = new InMemoryStore(runtime);
        storeFaultPlan = new RandomFaultPlan(random);
        InetSocketAddress storeAddress =
                LoopbackServer.start(
                        eventloop,
                        new StoreServlet(store, runtime, storeFaultPlan, LATE_CALL_DELAY_MILLIS));
        while (addedWorkers < settings.workers()) {
            addWorker();
        }
        List<String> zones = List.copyOf(settings.zones().keySet());
        for (int number = 0; number < settings.entryVms(); number++) {
            FaultyLink link = new FaultyLink(eventloop, storeAddress);
            storeLinks.add(link);
            entryVms.add(
                    new EntryVmProcess(
                            "entry-" + number,
                            zones.get(number % zones.size()),
                            settings.zones(),
                            link.address(),
                            settings.policies(),
                            settings.limits(),
                            settings.directory()));
        }
        runtime.schedule(COMPACTION_INTERVAL_MILLIS, this::compactHistory);
    }

    /** Starts the processes of the entry VMs. A shutdown hook kills them when this JVM exits. */
    public void start() {
        Runtime.getRuntime().addShutdownHook(killHook);
        entryVms.forEach(EntryVmProcess::start);
    }

    /** Kills the processes of the entry VMs that are still running, and waits for their ends. */
    public void kill() {
        killProcesses();
        Runtime.getRuntime().removeShutdownHook(killHook);
    }

    /** Kills the processes of the entry VMs that are still running. */
    private void killProcesses() {
        entryVms.forEach(EntryVmProcess::kill);
    }

    /**
     * Starts and registers a worker. Its identifier and its address are different from those of all
     * other workers, also of those that have left.
     */
    public void addWorker() {
        SimulatedWorker simulatedWorker =
                new SimulatedWorker(
                        String.format("worker-%03d", addedWorkers),
                        settings.capacity(),
                        runtime,
                        behaviour,
                        observer);
        RandomFaultPlan faultPlan = new RandomFaultPlan(random);
        InetSocketAddress address =
                LoopbackServer.start(
                        eventloop,
                        new WorkerServlet(
                                simulatedWorker, runtime, faultPlan, LATE_CALL_DELAY_MILLIS));
        FaultyLink link = new FaultyLink(eventloop, address);
        LocalWorker worker =
                new LocalWorker(
                        runtime, simulatedWorker, link, faultPlan, store, settings, addedWorkers);
        worker.register(false, 0);
        workers.add(worker);
        addedWorkers++;
    }

    /**
     * Removes a worker for good. Its active runs end.
     *
     * @param worker the worker
     */
    public void removeWorker(LocalWorker worker) {
        worker.leave();
        workers.remove(worker);
    }

    /**
     * Evacuates a zone, or takes it back.
     *
     * @param zone the name of the zone
     * @param evacuated whether its workers must get no more starts
     */
    public void setEvacuated(String zone, boolean evacuated) {
        String key = RECORD_DECODER.evacuationKeyPrefix() + zone;
        if (evacuated) {
            evacuatedZones.add(zone);
            store.commit(new StoreTransaction().put(key, new byte[] {'{', '}'}));
        } else {
            evacuatedZones.remove(zone);
            store.commit(new StoreTransaction().remove(key));
        }
    }

    /**
     * Returns how often a demand fits into the free resources of the workers that may get new work.
     * A worker counts at most twice.
     *
     * @param demand the resources of one task
     * @return the number of tasks
     */
    public int roomFor(Resources demand) {
        int room = 0;
        for (LocalWorker worker : workers) {
            Resources free = worker.simulatedWorker().freeResources();
            boolean mayGetStarts = worker.isUsable() && !evacuatedZones.contains(worker.zone());
            if (mayGetStarts && free.covers(demand)) {
                room += free.covers(demand.plus(demand)) ? 2 : 1;
            }
        }
        return room;
    }

    /**
     * Publishes a manifest under a higher version than all earlier ones; the version of the
     * argument is ignored.
     *
     * @param base the manifest from which the services and limits are taken
     * @param routes the routes of the published manifest
     */
    public void publishManifest(Manifest base, List<Route> routes) {
        manifestVersion++;
        Manifest published =
                new Manifest(
                        manifestVersion,
                        routes,
                        base.services(),
                        base.unguardedServices(),
                        base.limits());
        store.commit(
                new StoreTransaction()
                        .put(
                                RECORD_DECODER.manifestKey(),
                                PlatformRecordEncoder.encodeManifest(published)));
    }

    /**
     * Returns the state of the emulated store.
     *
     * @return the store
     */
    public InMemoryStore store() {
        return store;
    }

    /**
     * Returns the plan that decides which faults affect calls to the store.
     *
     * @return the plan
     */
    public RandomFaultPlan storeFaultPlan() {
        return storeFaultPlan;
    }

    /**
     * Returns the emulated workers, except those that have left for good.
     *
     * @return the live list of workers
     */
    public List<LocalWorker> workers() {
        return workers;
    }

    /**
     * Returns the processes of the entry VMs.
     *
     * @return the processes, also those that are not running
     */
    public List<EntryVmProcess> entryVms() {
        return entryVms;
    }

    /**
     * Returns the links between the entry VMs and the store.
     *
     * @return one link for each entry VM, in the order of the entry VMs
     */
    public List<FaultyLink> storeLinks() {
        return storeLinks;
    }

    /**
     * Compacts the store's history at a fixed interval, since the history would otherwise grow
     * without limit.
     */
    private void compactHistory() {
        store.compact();
        runtime.schedule(COMPACTION_INTERVAL_MILLIS, this::compactHistory);
    }
}
