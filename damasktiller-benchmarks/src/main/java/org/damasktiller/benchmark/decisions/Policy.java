package org.damasktiller.benchmark.decisions;

import java.util.List;
import org.damasktiller.decision.dispatch.DispatchAction;
import org.damasktiller.decision.dispatch.ServiceReport;
import org.damasktiller.decision.dispatch.TaskResult;
import org.damasktiller.decision.dispatch.UsageReport;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.table.KindOfWork;

/** Decides where jobs run; the one measured and the baselines are implementations. */
interface Policy {

    /**
     * Adds a row of the table.
     *
     * @param row the row
     * @param nowMillis the time, in milliseconds
     */
    void putKind(KindOfWork row, long nowMillis);

    /**
     * Adds a worker.
     *
     * @param spec the worker
     */
    void addWorker(WorkerSpec spec);

    /**
     * Chooses the worker of an instance of a service.
     *
     * @param instance the number of the instance
     * @param instances the number of all instances
     * @return the number of the worker
     */
    int serviceWorker(int instance, int instances);

    /**
     * Adds an instance of a service that runs for the whole time with its declared size.
     *
     * @param service the instance
     * @param worker its worker
     */
    void addService(PendingJob service, WorkerId worker);

    /**
     * Takes a job.
     *
     * @param job the job
     * @param nowMillis the time, in milliseconds
     * @return the actions
     */
    List<DispatchAction> submit(PendingJob job, long nowMillis);

    /**
     * Cancels a job.
     *
     * @param job the job
     * @return the actions
     */
    List<DispatchAction> cancel(JobId job);

    /**
     * Starts what can start.
     *
     * @param nowMillis the time, in milliseconds
     * @return the actions
     */
    List<DispatchAction> round(long nowMillis);

    /**
     * Takes a usage report.
     *
     * @param report the report
     * @param nowMillis the time, in milliseconds
     * @return the actions
     */
    List<DispatchAction> onUsage(UsageReport report, long nowMillis);

    /**
     * Takes a measurement of a service.
     *
     * @param report the measurement
     * @param nowMillis the time, in milliseconds
     * @return the actions
     */
    List<DispatchAction> onService(ServiceReport report, long nowMillis);

    /**
     * Takes the end of a task.
     *
     * @param job the job
     * @param result how it ended
     * @param nowMillis the time, in milliseconds
     * @return the actions
     */
    List<DispatchAction> onEnded(JobId job, TaskResult result, long nowMillis);
}
