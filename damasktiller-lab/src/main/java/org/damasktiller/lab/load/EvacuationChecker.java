package org.damasktiller.lab.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.standin.fleet.RunObserver;
import org.jspecify.annotations.Nullable;

/**
 * Checks that workers start nothing in zones that have been evacuated for longer than an evacuation
 * may take to be in effect. Passes all events on to another observer.
 */
public final class EvacuationChecker implements RunObserver {

    /** The clock. */
    private final ProcessRuntime runtime;

    /** Receives all events. */
    private final RunObserver delegate;

    /** Returns the zone of a worker, or an empty string if the worker is not known. */
    private final Function<String, String> zoneOfWorker;

    /** How long after an evacuation starts may still arrive, in milliseconds. */
    private final long allowedMillis;

    /** When each evacuated zone was evacuated, in milliseconds. */
    private final Map<String, Long> evacuatedSince = new HashMap<>();

    /** The violations found so far, one line each. */
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param runtime the clock
     * @param delegate receives all events
     * @param zoneOfWorker returns the zone of a worker, or an empty string if it is not known
     * @param allowedMillis how long after an evacuation starts may still arrive, in milliseconds
     */
    public EvacuationChecker(
            ProcessRuntime runtime,
            RunObserver delegate,
            Function<String, String> zoneOfWorker,
            long allowedMillis) {
        this.runtime = runtime;
        this.delegate = delegate;
        this.zoneOfWorker = zoneOfWorker;
        this.allowedMillis = allowedMillis;
    }

    /**
     * Records that a zone is evacuated from now on.
     *
     * @param zone the name of the zone
     */
    public void onEvacuated(String zone) {
        evacuatedSince.put(zone, runtime.nowMillis());
    }

    /**
     * Records that a zone is taken back.
     *
     * @param zone the name of the zone
     */
    public void onTakenBack(String zone) {
        evacuatedSince.remove(zone);
    }

    /**
     * Returns the violations found so far.
     *
     * @return one line each
     */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    @Override
    public void started(String worker, TaskId task, int run) {
        String zone = zoneOfWorker.apply(worker);
        Long since = evacuatedSince.get(zone);
        if (since != null && runtime.nowMillis() - since > allowedMillis) {
            violations.add(
                    "start of %s on %s, whose zone %s was evacuated %d ms before"
                            .formatted(task, worker, zone, runtime.nowMillis() - since));
        }
        delegate.started(worker, task, run);
    }

    @Override
    public void ended(String worker, TaskId task, int run, @Nullable EndKind kind) {
        delegate.ended(worker, task, run, kind);
    }

    @Override
    public void acknowledged(String worker, TaskId task, int run, EndKind kind) {
        delegate.acknowledged(worker, task, run, kind);
    }

    @Override
    public void overloaded(String worker, TaskId task) {
        delegate.overloaded(worker, task);
    }

    @Override
    public void crashed(String worker, TaskId task) {
        delegate.crashed(worker, task);
    }
}
