package org.damasktiller.node.cluster;

import java.util.HashMap;
import java.util.Map;
import org.damasktiller.scheduler.cell.CellEnvironment;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.CellOwner;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.cell.CellTerm;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.AdviceCalls;
import org.damasktiller.scheduler.port.Commit;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.PlatformFormats;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.WorkerCalls;
import org.jspecify.annotations.Nullable;

/** The part of a process in the cluster: it shows that it lives and owns the cells that it wins. */
public final class Cluster {

    /** The time between two looks at vacant cells, in milliseconds. */
    private static final long CONSIDER_MILLIS = 100;

    /**
     * The time between two checks of the key that shows that the process lives, in milliseconds.
     */
    private static final long ANNOUNCE_MILLIS = 1_000;

    /** Up to how far the store counts as near, in milliseconds: less than a region away. */
    private static final long NEAR_MILLIS = 25;

    /** How long a process waits for others before it takes part, in milliseconds. */
    private static final long SETTLE_MILLIS = 400;

    /** This process. */
    private final NodeIdentity identity;

    /** The settings of the cells. */
    private final CellSettings settings;

    /** The layout of the cells. */
    private final CellLayout layout;

    /** The shared parts. */
    private final ClusterParts parts;

    /** The calls to workers. */
    private final WorkerCalls calls;

    /** The calls to the advice service. */
    private final AdviceCalls advice;

    /** The platform's records. */
    private final PlatformFormats formats;

    /** The elections by cell. */
    private final Map<String, CellElection> elections = new HashMap<>();

    /** The cells that this process owns. */
    private final Map<String, CellOwner> owned = new HashMap<>();

    /** The terms of the cells that this process owns. */
    private final Map<String, CellTerm> terms = new HashMap<>();

    /** The manifest in force, or null before the first. */
    private @Nullable Manifest manifest;

    /** When the process showed that it lives first, in milliseconds, or -1. */
    private long announcedMillis = -1;

    /** Whether the process is leaving. */
    private boolean leaving;

    /**
     * Creates the part of a process that has not begun.
     *
     * @param identity this process
     * @param layout the layout of the cells
     * @param settings the settings of the cells
     * @param store the store
     * @param calls the calls to workers
     * @param advice the calls to the advice service
     * @param formats the platform's records
     * @param runtime the clock and the timers
     * @param log the log
     */
    public Cluster(
            NodeIdentity identity,
            CellLayout layout,
            CellSettings settings,
            MetadataStore store,
            WorkerCalls calls,
            AdviceCalls advice,
            PlatformFormats formats,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.identity = identity;
        this.layout = layout;
        this.settings = settings;
        this.calls = calls;
        this.advice = advice;
        this.formats = formats;
        StoreSession session = new StoreSession(store, runtime, log, settings.storeLeaseMillis());
        ClusterView view = new ClusterView(store, runtime, log, this::considerAll);
        this.parts = new ClusterParts(store, session, view, runtime, log);
    }

    /** Begins to take part. */
    public void start() {
        parts.session().start();
        parts.view().start();
        announce();
        consider();
    }

    /** Gives up all cells and takes no new ones. */
    public void leave() {
        leaving = true;
        Map<String, CellOwner> held = new HashMap<>(owned);
        held.forEach(
                (cell, owner) -> {
                    CellTerm term = terms.get(cell);
                    owner.stop("the process is leaving");
                    CellElection election = elections.get(cell);
                    if (term != null && election != null) {
                        election.resign(term.headRevision());
                    }
                });
    }

    /** Ends the lease of the process. */
    public void close() {
        parts.session().close();
    }

    /**
     * Puts a manifest in force.
     *
     * @param next the manifest
     */
    public void manifest(Manifest next) {
        manifest = next;
        for (String service : next.services()) {
            for (String cell : layout.cellsOf(service)) {
                elections.computeIfAbsent(cell, this::election);
            }
        }
        owned.values().forEach(owner -> owner.updateManifest(next));
        considerAll();
    }

    /**
     * Tells whether the store has answered lately.
     *
     * @return whether it has
     */
    public boolean storeReachable() {
        return parts.session().reachable();
    }

    /**
     * Returns how many submissions of a route wait for their first start.
     *
     * @param route the name of the route
     * @return the number
     */
    public int pending(String route) {
        return parts.view().pending(route);
    }

    /**
     * Finds the state of an open submission in a cell that this process owns.
     *
     * @param cell the cell
     * @param id the submission
     * @return the state, or null if this process does not know it
     */
    public @Nullable SubmissionState state(String cell, String id) {
        CellOwner owner = owned.get(cell);
        return owner == null ? null : owner.submissionState(id);
    }

    /**
     * Makes the election of a cell.
     *
     * @param cell the cell
     * @return the election
     */
    private CellElection election(String cell) {
        return new CellElection(
                cell, layout.zoneOf(cell), identity, parts, term -> begin(cell, term));
    }

    /** Looks at vacant cells at regular times. */
    private void consider() {
        considerAll();
        parts.runtime().schedule(CONSIDER_MILLIS, this::consider);
    }

    /** Looks at all cells. */
    private void considerAll() {
        boolean settled =
                announcedMillis >= 0
                        && parts.runtime().nowMillis() - announcedMillis >= SETTLE_MILLIS;
        if (settled && !leaving && manifest != null) {
            elections.values().forEach(CellElection::consider);
        }
    }

    /** Shows at regular times that the process lives. */
    private void announce() {
        if (leaving) {
            return;
        }
        String key = ClusterView.NODES + identity.node();
        boolean shown =
                parts.view().nodes().stream()
                        .anyMatch(record -> record.process().equals(identity.process()));
        long lease = parts.session().lease();
        boolean measured = parts.session().distanceMillis() != Long.MAX_VALUE;
        if (!shown && lease != StoreSession.NONE && measured) {
            NodeRecord record =
                    new NodeRecord(
                            identity.node(),
                            identity.process(),
                            identity.zone(),
                            parts.session().distanceMillis() <= NEAR_MILLIS);
            parts.store()
                    .commit(
                            new Commit().put(key, StoredValueCodec.encode(record), lease),
                            result -> onAnnounced(result.status()));
        }
        long pause = announcedMillis < 0 ? CONSIDER_MILLIS : ANNOUNCE_MILLIS;
        parts.runtime().schedule(pause, this::announce);
    }

    /**
     * Notes that the process has shown that it lives.
     *
     * @param status how the call ended
     */
    private void onAnnounced(StoreStatus status) {
        if (status == StoreStatus.OK && announcedMillis < 0) {
            announcedMillis = parts.runtime().nowMillis();
        }
    }

    /**
     * Begins a term.
     *
     * @param cell the cell
     * @param term the term
     */
    private void begin(String cell, CellTerm term) {
        Manifest inForce = manifest;
        if (inForce == null) {
            return;
        }
        CellEnvironment environment =
                new CellEnvironment(
                        settings,
                        parts.store(),
                        calls,
                        advice,
                        formats,
                        parts.runtime(),
                        parts.log(),
                        inForce);
        CellOwner owner =
                new CellOwner(
                        environment,
                        cell,
                        term,
                        entry -> layout.cellOf(entry.service(), entry.zone()).equals(cell),
                        reason -> end(cell));
        owned.put(cell, owner);
        terms.put(cell, term);
        owner.start();
        if (leaving) {
            leave();
        }
    }

    /**
     * Notes that a term has ended.
     *
     * @param cell the cell
     */
    private void end(String cell) {
        owned.remove(cell);
        terms.remove(cell);
        CellElection election = elections.get(cell);
        if (election != null) {
            election.lost();
        }
    }
}
