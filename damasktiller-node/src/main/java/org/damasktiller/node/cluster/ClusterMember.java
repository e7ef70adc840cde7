package org.damasktiller.node.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.damasktiller.scheduler.cell.CellEnvironment;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.CellOwner;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.cell.CellTerm;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.scheduler.port.WorkerClient;
import org.jspecify.annotations.Nullable;

/**
 * Manages the membership of this process in the cluster: registers the process under a lease, takes
 * part in the election of each cell's owner, and runs a {@link CellOwner} for each cell that it has
 * won. Used on the thread of the event loop only.
 */
public final class ClusterMember implements ManifestListener {

    /** The interval at which the process tries to win vacant cells, in milliseconds. */
    private static final long ELECTION_INTERVAL_MILLIS = 100;

    /** The interval at which the registration of this process is checked, in milliseconds. */
    private static final long REGISTRATION_CHECK_MILLIS = 1_000;

    /**
     * The longest round trip for which the store counts as near, in milliseconds: less than a round
     * trip between regions.
     */
    private static final long NEAR_STORE_MAX_MILLIS = 25;

    /**
     * The delay between the first registration of this process and its first election, in
     * milliseconds, in which other processes that start at the same time can register.
     */
    private static final long FIRST_ELECTION_DELAY_MILLIS = 200;

    /** The identity of this process. */
    private final NodeIdentity identity;

    /** The settings of the cells. */
    private final CellSettings settings;

    /** Decides which submissions this VM may accept. */
    private final AcceptanceBound acceptanceBound;

    /** The region of each availability zone, by the name of the zone. */
    private final Map<String, String> regionByZone;

    /** The cells that the process takes part in electing an owner of. */
    private final OwnCells cells;

    /** Hands cells over to processes that are better placed to own them. */
    private final OwnershipBalancer balancer;

    /** Provides the layout of the cells that all processes share. */
    private final LayoutCoordinator layouts;

    /** The dependencies that all elections share. */
    private final ClusterContext context;

    /** Counts the pending submissions. */
    private final PendingCounts pendingCounts;

    /** Publishes what new versions of the manifest change. */
    private final ManifestPublisher manifestPublisher;

    /** Sends requests to workers. */
    private final WorkerClient workerClient;

    /** Sends requests to the advice service. */
    private final AdviceClient adviceClient;

    /** Reads and writes the platform's record formats. */
    private final PlatformRecordDecoder formats;

    /** The current manifest, or null before the first one has been read. */
    private @Nullable Manifest manifest;

    /**
     * When the process was first registered, on the monotonic clock, in milliseconds, or -1 before.
     */
    private long registeredMillis = -1;

    /** Whether a registration has been sent and has no result yet. */
    private boolean registrationPending;

    /**
     * Creates a member that is not started yet.
     *
     * @param identity the identity of this process
     * @param layoutSettings what the layout of the cells depends on
     * @param settings the settings of the cells
     * @param store the store
     * @param workerClient sends requests to workers
     * @param adviceClient sends requests to the advice service
     * @param formats reads and writes the platform's record formats
     * @param runtime the clock and the timers
     * @param log the log
     */
    public ClusterMember(
            NodeIdentity identity,
            LayoutSettings layoutSettings,
            CellSettings settings,
            MetadataStore store,
            WorkerClient workerClient,
            AdviceClient adviceClient,
            PlatformRecordDecoder formats,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.identity = identity;
        this.settings = settings;
        this.workerClient = workerClient;
        this.adviceClient = adviceClient;
        this.formats = formats;
        StoreSession session =
                new StoreSession(store, runtime, log, settings.storeLeaseMillis(), this::register);
        ClusterView view = new ClusterView(store, runtime, log, this::attemptElections);
        this.context = new ClusterContext(store, session, view, runtime, log);
        this.regionByZone = layoutSettings.regionByZone();
        this.cells = new OwnCells(identity, context);
        this.balancer = new OwnershipBalancer(identity, context, cells);
        this.layouts = new LayoutCoordinator(context, layoutSettings);
        this.pendingCounts = new PendingCounts(context);
        this.acceptanceBound = new AcceptanceBound(view, settings.openWorkBytes(), runtime);
        this.manifestPublisher = new ManifestPublisher(context, identity.node());
    }

    /** Starts the lease, the view, the registration and the elections. */
    public void start() {
        context.session().start();
        context.view().start();
        registerPeriodically();
        attemptElectionsPeriodically();
        balancer.start();
    }

    /**
     * Hands over all owned cells, removes their owner keys once that is done, and stops taking new
     * cells.
     */
    public void leave() {
        cells.leave();
    }

    /** Ends the lease of the process, which removes all keys written under it. */
    public void close() {
        context.session().close();
    }

    /**
     * Returns how services and zones are mapped to cells.
     *
     * @return the layout, or null while this process does not know it
     */
    public @Nullable CellLayout layout() {
        return layouts.layout();
    }

    /** Applies a new version: adds elections for new cells and updates the owners. */
    @Override
    public void onManifest(Manifest next, long revision, boolean published) {
        boolean first = manifest == null;
        manifest = next;
        if (first) {
            register();
        }
        cells.owners().forEach(owner -> owner.updateManifest(next));
        attemptElections();
        manifestPublisher.onManifest(next, revision, published);
    }

    /**
     * Sets the listener of changes of the manifest that other processes publish.
     *
     * @param listener called with each change
     */
    public void setManifestChangeListener(Consumer<ManifestChange> listener) {
        context.view().setManifestChangeListener(listener);
    }

    /**
     * Tells whether the store is in another region, judged by the round trip to it.
     *
     * @return whether it is; false while that is not known
     */
    public boolean isStoreFar() {
        long roundTripMillis = context.session().fastestRenewalMillis();
        return roundTripMillis > NEAR_STORE_MAX_MILLIS && roundTripMillis != Long.MAX_VALUE;
    }

    /**
     * Tells whether the store has responded recently.
     *
     * @return whether the store counts as reachable
     */
    public boolean isStoreReachable() {
        return context.session().isReachable();
    }

    /**
     * Tells whether the store rejects the calls of this process or does not respond.
     *
     * @return whether its last calls have failed
     */
    public boolean isStoreFailing() {
        return context.session().isFailing();
    }

    /**
     * Returns the processes on other VMs that were registered when the store last answered.
     *
     * @return the processes
     */
    public List<NodeRecord> peers() {
        return context.view().nodes().stream()
                .filter(record -> !record.node().equals(identity.node()))
                .toList();
    }

    /**
     * Tells whether this process does what a single process does for all: the one whose VM comes
     * first by name. Two may for a while, as their views differ.
     *
     * @return whether it is registered and no VM that comes before it is
     */
    public boolean isFirstRegistered() {
        return context.view().nodes().stream()
                .min(Comparator.comparing(NodeRecord::node))
                .map(first -> first.process().equals(identity.process()))
                .orElse(false);
    }

    /**
     * Counts the submissions of a route that are pending, that is, wait for the start of their
     * first task.
     *
     * @param route the name of the route
     * @param callback receives the number over all cells; empty if the store does not answer
     */
    public void countPending(String route, Consumer<OptionalInt> callback) {
        pendingCounts.count(route, callback);
    }

    /**
     * Decides whether this VM may accept a submission for a cell. One that is admitted is counted.
     *
     * @param cell the name of the cell
     * @param bytes the memory that the submission will take of the owner of the cell, in bytes
     * @return whether there is memory for it, as far as this VM knows
     */
    public boolean admits(String cell, long bytes) {
        return acceptanceBound.admits(cell, bytes);
    }

    /**
     * Returns the largest workers of a service.
     *
     * @param service the name of the service
     * @return the capacities of the largest workers of all its cells, empty if they are not known
     */
    public List<Resources> largestWorkers(String service) {
        CellLayout layout = layouts.layout();
        return layout == null ? List.of() : context.view().largestWorkers(layout.cellsOf(service));
    }

    /**
     * Returns the state of an open submission in a cell that this process owns.
     *
     * @param cell the cell's name
     * @param id the submission's identifier
     * @return the state, or null if this process does not own the cell or does not know the
     *     submission
     */
    public @Nullable SubmissionState submissionState(String cell, String id) {
        CellOwner owner = cells.owner(cell);
        return owner == null ? null : owner.submissionState(id);
    }

    /**
     * Explains where the first task of a step would start if it arrived now, in the cells of its
     * service.
     *
     * @param routeName the name of the route
     * @param spec the step
     * @return some lines for each cell that this process owns, and the owner of each other cell
     * @throws DamasktillerException with code BAD_REQUEST if the manifest has no such route
     */
    public List<String> explainPlacement(String routeName, StepSpec spec) {
        Manifest currentManifest = manifest;
        CellLayout layout = layouts.layout();
        Route route = currentManifest == null ? null : currentManifest.findRouteByName(routeName);
        if (route == null || layout == null) {
            throw new DamasktillerException(
                    ErrorCode.BAD_REQUEST,
                    Operation.READ,
                    identity.node(),
                    Outcome.NOT_RUN,
                    "the manifest in force has no route " + routeName);
        }
        List<String> lines = new ArrayList<>();
        for (String cell : layout.cellsOf(route.service())) {
            CellOwner owner = cells.owner(cell);
            if (owner != null) {
                lines.addAll(owner.explainPlacement(route, spec));
            } else {
                ClusterView.Owner other = context.view().owner(cell);
                lines.add(
                        "cell "
                                + cell
                                + (other == null
                                        ? " has no owner now"
                                        : " is owned by " + other.record().node() + ": ask it"));
            }
        }
        return lines;
    }

    /**
     * Creates the elections of the cells of a manifest that have none yet.
     *
     * @param layout maps services and zones to cells
     * @param currentManifest the manifest
     */
    private void createElections(CellLayout layout, Manifest currentManifest) {
        for (String service : currentManifest.services()) {
            for (String cell : layout.cellsOf(service)) {
                cells.addElection(
                        cell,
                        () ->
                                new CellElection(
                                        CellPlace.of(cell, layout, regionByZone),
                                        identity,
                                        context,
                                        cells::candidates,
                                        term -> startTerm(layout, cell, term)));
            }
        }
    }

    /** Tries to win vacant cells at regular intervals. */
    private void attemptElectionsPeriodically() {
        attemptElections();
        context.runtime().schedule(ELECTION_INTERVAL_MILLIS, this::attemptElectionsPeriodically);
    }

    /**
     * Tries to win vacant cells, unless the process is leaving, has no manifest, or registered too
     * recently. Proposes a layout of the cells if there is none.
     */
    private void attemptElections() {
        boolean electionsAllowed =
                registeredMillis >= 0
                        && context.runtime().nowMillis() - registeredMillis
                                >= FIRST_ELECTION_DELAY_MILLIS;
        Manifest currentManifest = manifest;
        if (!electionsAllowed || cells.isLeaving() || currentManifest == null) {
            return;
        }
        CellLayout layout = layouts.layout();
        if (layout == null) {
            layouts.proposeIfAbsent();
            return;
        }
        createElections(layout, currentManifest);
        cells.attemptElections();
    }

    /**
     * Registers the process if it is not registered, and again once it has a manifest. Does nothing
     * before the round trip to the store has been measured, which is part of the registration.
     */
    private void register() {
        boolean registered =
                context.view().nodes().stream()
                        .filter(record -> record.process().equals(identity.process()))
                        .anyMatch(record -> record.canOwn() || manifest == null);
        boolean possible = !cells.isLeaving() && context.session().isMeasured();
        if (!possible || registered || registrationPending) {
            return;
        }
        registrationPending = true;
        NodeRecord record =
                new NodeRecord(
                        identity.node(),
                        identity.process(),
                        identity.zone(),
                        context.session().fastestRenewalMillis() <= NEAR_STORE_MAX_MILLIS,
                        identity.cpuMillicores(),
                        identity.startedUnixMillis(),
                        identity.peerAddress(),
                        manifest != null);
        context.store()
                .commit(
                        new StoreTransaction()
                                .put(
                                        CellKeys.NODE_PREFIX + identity.node(),
                                        StoredValueCodec.encode(record),
                                        context.session().leaseId()),
                        result -> onRegistered(result.status()));
    }

    /**
     * Checks at regular intervals that the registration still exists, since its key disappears with
     * an expired lease.
     */
    private void registerPeriodically() {
        if (!cells.isLeaving()) {
            register();
            long pauseMillis =
                    registeredMillis < 0 ? ELECTION_INTERVAL_MILLIS : REGISTRATION_CHECK_MILLIS;
            context.runtime().schedule(pauseMillis, this::registerPeriodically);
        }
    }

    /**
     * Records the time of the first successful registration.
     *
     * @param status the result of the call to the store
     */
    private void onRegistered(StoreStatus status) {
        registrationPending = false;
        if (status == StoreStatus.OK && registeredMillis < 0) {
            registeredMillis = context.runtime().nowMillis();
        }
    }

    /**
     * Starts an owner for a cell that this process has won.
     *
     * @param layout maps services and zones to cells
     * @param cell the cell's name
     * @param term the term that begins
     */
    private void startTerm(CellLayout layout, String cell, CellTerm term) {
        Manifest currentManifest = manifest;
        if (currentManifest == null) {
            return;
        }
        CellEnvironment environment =
                new CellEnvironment(
                        settings,
                        context.store(),
                        workerClient,
                        adviceClient,
                        formats,
                        context.runtime(),
                        context.log(),
                        currentManifest,
                        layout.siblingsOf(cell));
        CellOwner owner =
                new CellOwner(
                        environment,
                        cell,
                        term,
                        entry -> layout.cellOf(entry.service(), entry.zone()).equals(cell),
                        reason -> cells.end(cell));
        cells.begin(cell, term, owner);
    }
}
