package org.damasktiller.scheduler.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.evacuation.EvacuationView;
import org.damasktiller.scheduler.evacuation.ZoneGuard;
import org.damasktiller.scheduler.port.StoreEvent;

/**
 * Watches the operators' requests to evacuate zones, keeps the view of the owner up to date, and
 * logs each change with the runs and waiting tasks that it concerns.
 */
final class EvacuationWatcher implements PrefixWatcher.Listener {

    /**
     * The time between two reports of what still runs in evacuated zones, and between two checks of
     * the age of the view, in milliseconds.
     */
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** The prefix of the keys of the requests, to which the name of the zone is appended. */
    private final String keyPrefix;

    /** What is known of the evacuated zones. */
    private final EvacuationView view;

    /** Reads the requests and waits for changes. */
    private final PrefixWatcher watcher;

    /** Called when the zones that may get starts have changed. */
    private final Runnable onChanged;

    /** Whether the view was too old to rely on at the last check. */
    private boolean outdated;

    /**
     * Creates a watcher that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param keyPrefix the prefix of the keys of the requests
     * @param onChanged called when the zones that may get starts have changed
     */
    EvacuationWatcher(CellContext context, String keyPrefix, Runnable onChanged) {
        this.context = context;
        this.keyPrefix = keyPrefix;
        this.onChanged = onChanged;
        this.watcher =
                new PrefixWatcher(keyPrefix, 0, context.store, context.runtime, context.log, this);
        this.view =
                new EvacuationView(
                        context.settings.evacuationBoundMillis(), watcher::confirmedAtMillis);
    }

    /** Starts to read the requests if the settings of the deployment ask for it. */
    void start() {
        if (isEnabled()) {
            watcher.start();
            context.schedule(REPORT_INTERVAL_MILLIS, this::reportPeriodically);
        }
    }

    /** Stops watching; later changes are ignored. */
    void close() {
        watcher.close();
    }

    /**
     * Returns the decision which zones may get starts.
     *
     * @return the view, which changes with the requests; {@link ZoneGuard#OPEN} if zones of the
     *     deployment are not evacuated
     */
    ZoneGuard guard() {
        return isEnabled() ? view : ZoneGuard.OPEN;
    }

    /**
     * Returns whether zones of the deployment may be evacuated.
     *
     * @return whether the settings bound the delay of an evacuation
     */
    private boolean isEnabled() {
        return context.settings.evacuationBoundMillis() > 0;
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        Map<String, Long> revisionsByZone = new HashMap<>();
        snapshot.forEach(item -> revisionsByZone.put(zoneOf(item.key()), item.revision()));
        Set<String> before = view.evacuatedZones();
        view.onListed(revisionsByZone, snapshot.highestRevision());
        Set<String> changed = new TreeSet<>(before);
        changed.addAll(revisionsByZone.keySet());
        changed.removeIf(zone -> before.contains(zone) && revisionsByZone.containsKey(zone));
        changed.forEach(zone -> logChange(zone, revisionsByZone.containsKey(zone)));
        onChanged.run();
    }

    @Override
    public void onChange(StoreEvent event) {
        String zone = zoneOf(event.key());
        boolean evacuated = event.item() != null;
        if (view.onChange(zone, evacuated, event.revision())) {
            logChange(zone, evacuated);
            onChanged.run();
        }
    }

    /**
     * Logs that a zone is evacuated or taken back.
     *
     * @param zone the name of the zone
     * @param evacuated whether it is evacuated
     */
    private void logChange(String zone, boolean evacuated) {
        context.log.log(
                evacuated ? "zone.evacuated" : "zone.returned",
                "cell",
                context.cell,
                "zone",
                zone,
                "revision",
                view.sinceRevision(zone),
                "workers",
                workersIn(zone).size(),
                "runs",
                runsIn(zone));
    }

    /**
     * Reports what still runs in evacuated zones, and whether the view is too old, at intervals.
     */
    private void reportPeriodically() {
        for (String zone : view.evacuatedZones()) {
            context.log.log(
                    "zone.evacuation",
                    "cell",
                    context.cell,
                    "zone",
                    zone,
                    "revision",
                    view.sinceRevision(zone),
                    "runs",
                    runsIn(zone),
                    "waitingSteps",
                    context.waitingSteps);
        }
        boolean nowOutdated = !view.isCurrent(context.now());
        if (nowOutdated != outdated) {
            outdated = nowOutdated;
            context.log.log(
                    outdated ? "evacuation.unknown" : "evacuation.known",
                    "cell",
                    context.cell,
                    "answeredAgo",
                    context.now() - watcher.answeredAtMillis());
            onChanged.run();
        }
        context.schedule(REPORT_INTERVAL_MILLIS, this::reportPeriodically);
    }

    /**
     * Returns the workers of a zone.
     *
     * @param zone the name of the zone
     * @return the workers
     */
    private Collection<WorkerRecord> workersIn(String zone) {
        return context.allWorkers().stream()
                .filter(worker -> worker.entry.zone().equals(zone))
                .toList();
    }

    /**
     * Counts the runs on the workers of a zone.
     *
     * @param zone the name of the zone
     * @return the number of runs that are or may be active
     */
    private int runsIn(String zone) {
        return workersIn(zone).stream().mapToInt(worker -> worker.runs.size()).sum();
    }

    /**
     * Extracts the name of the zone from a key.
     *
     * @param key the key of a request
     * @return the name of the zone
     */
    private String zoneOf(String key) {
        return key.substring(keyPrefix.length());
    }
}
