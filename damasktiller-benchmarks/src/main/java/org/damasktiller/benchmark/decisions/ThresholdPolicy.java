package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damasktiller.decision.dispatch.DispatchAction;
import org.damasktiller.decision.dispatch.DispatchSettings;
import org.damasktiller.decision.dispatch.ServiceReport;
import org.damasktiller.decision.dispatch.StartTask;
import org.damasktiller.decision.dispatch.StopTask;
import org.damasktiller.decision.dispatch.TaskResult;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;

/**
 * The baseline that stops the largest task beside a service at each reading over a threshold,
 * without hysteresis. It knows the latency without slowdown.
 */
final class ThresholdPolicy extends DispatcherPolicy {

    /** The slowdown at which a task is stopped. */
    private static final double THRESHOLD = 1.15;

    /** The worker of each service. */
    private final Map<JobId, PlacedService> services = new HashMap<>();

    /** The running tasks of each worker. */
    private final Map<WorkerId, Map<JobId, StartTask>> tasks = new HashMap<>();

    /** The worker of each running task. */
    private final Map<JobId, WorkerId> places = new HashMap<>();

    /**
     * Creates a policy.
     *
     * @param seed the seed of the random choices
     */
    ThresholdPolicy(long seed) {
        super(DispatchSettings.ORDINARY.withoutProtection(), seed);
    }

    @Override
    public void addService(PendingJob service, WorkerId worker) {
        super.addService(service, worker);
        services.put(service.id(), new PlacedService(service, worker));
    }

    @Override
    public List<DispatchAction> round(long nowMillis) {
        List<DispatchAction> actions = super.round(nowMillis);
        for (DispatchAction action : actions) {
            if (action instanceof StartTask start) {
                tasks.computeIfAbsent(start.worker(), key -> new LinkedHashMap<>())
                        .put(start.job(), start);
                places.put(start.job(), start.worker());
            }
        }
        return actions;
    }

    @Override
    public List<DispatchAction> onService(ServiceReport report, long nowMillis) {
        List<DispatchAction> actions = new ArrayList<>(super.onService(report, nowMillis));
        PlacedService placed = services.get(report.service());
        if (placed == null) {
            return actions;
        }
        FakeService alone = new FakeService(placed.job(), 0, 0, placed.job().size());
        alone.load = (double) report.milliProcessorsUsed() / placed.job().size().milliProcessors();
        if (report.latencyMillis() > THRESHOLD * alone.latencyMillis()) {
            Optional<StartTask> largest =
                    tasks.getOrDefault(placed.worker(), Map.of()).values().stream()
                            .max(Comparator.comparingLong(t -> t.size().milliProcessors()));
            largest.ifPresent(task -> actions.add(new StopTask(task.job(), task.worker())));
        }
        return actions;
    }

    @Override
    public List<DispatchAction> onEnded(JobId job, TaskResult result, long nowMillis) {
        WorkerId worker = places.remove(job);
        Map<JobId, StartTask> running = worker == null ? null : tasks.get(worker);
        if (running != null) {
            running.remove(job);
        }
        return super.onEnded(job, result, nowMillis);
    }

    /**
     * Holds where a service runs.
     *
     * @param job the service
     * @param worker its worker
     */
    private record PlacedService(PendingJob job, WorkerId worker) {}
}
