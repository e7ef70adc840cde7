package org.damasktiller.benchmark.decisions;

import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.decision.dispatch.DispatchAction;
import org.damasktiller.decision.dispatch.DispatchSettings;
import org.damasktiller.decision.dispatch.Dispatcher;
import org.damasktiller.decision.dispatch.ServiceReport;
import org.damasktiller.decision.dispatch.TaskResult;
import org.damasktiller.decision.dispatch.UsageReport;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.fairshare.ShareReading;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.table.KindOfWork;

/** Runs the library's dispatcher. */
class DispatcherPolicy implements Policy {

    /** The dispatcher. */
    private final Dispatcher dispatcher;

    /**
     * Creates a policy.
     *
     * @param settings the settings of the dispatcher
     * @param seed the seed of its random choices
     */
    DispatcherPolicy(DispatchSettings settings, long seed) {
        dispatcher = new Dispatcher(settings, new SplittableRandom(seed));
    }

    @Override
    public void putKind(KindOfWork row, long nowMillis) {
        dispatcher.putKind(row, nowMillis);
    }

    @Override
    public void addWorker(WorkerSpec spec) {
        dispatcher.addWorker(spec);
    }

    @Override
    public int serviceWorker(int instance, int instances) {
        return instance;
    }

    @Override
    public void addService(PendingJob service, WorkerId worker) {
        dispatcher.adopt(service, worker, service.size(), 0);
    }

    @Override
    public List<DispatchAction> submit(PendingJob job, long nowMillis) {
        return dispatcher.submit(job, nowMillis);
    }

    @Override
    public List<DispatchAction> cancel(JobId job) {
        return dispatcher.cancel(job);
    }

    @Override
    public List<DispatchAction> round(long nowMillis) {
        return dispatcher.round(nowMillis);
    }

    @Override
    public List<DispatchAction> onUsage(UsageReport report, long nowMillis) {
        return dispatcher.onUsage(report, nowMillis);
    }

    @Override
    public List<DispatchAction> onService(ServiceReport report, long nowMillis) {
        return dispatcher.onService(report, nowMillis);
    }

    @Override
    public List<DispatchAction> onEnded(JobId job, TaskResult result, long nowMillis) {
        return dispatcher.onEnded(job, result, nowMillis);
    }

    /**
     * Reads the shares back.
     *
     * @param nowMillis the time, in milliseconds
     * @return the readings
     */
    List<ShareReading> shares(long nowMillis) {
        return dispatcher.shares(nowMillis);
    }
}
