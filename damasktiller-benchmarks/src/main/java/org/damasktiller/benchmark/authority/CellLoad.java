package org.damasktiller.benchmark.authority;

import org.HdrHistogram.Histogram;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.Submit;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.HarnessTimes;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.damasktiller.worker.TaskSpec;

/** Loads one cell in virtual time. */
public final class CellLoad {

    /** Milliseconds in a second. */
    static final int MILLIS_PER_SECOND = 1_000;

    /** The number of significant digits of the latencies. */
    private static final int DIGITS = 3;

    /** The processors of a worker, in thousandths. */
    private static final int WORKER_PROCESSORS = 64_000;

    /** The memory of a worker, in megabytes. */
    private static final int WORKER_MEMORY = 250_000;

    /** The processors of a task, in thousandths. */
    private static final int TASK_PROCESSORS = 2_000;

    /** How long the first owner takes to be ready, in milliseconds. */
    private static final int WARM_UP_MILLIS = 3_000;

    /** How long the last acceptance may take at most, in milliseconds. */
    private static final long ACCEPT_LIMIT_MILLIS = 60_000;

    /** The number of tenants. */
    private static final int TENANTS = 120;

    /** The counted calls. */
    private final CallCounter calls = new CallCounter();

    /** The cell. */
    private final CellHarness harness;

    /** The latencies of the acceptances, in milliseconds. */
    private final Histogram latencies = new Histogram(DIGITS);

    /** The number of jobs submitted so far. */
    private long submitted;

    /** The number of jobs accepted so far. */
    private long accepted;

    /**
     * Creates a cell with an owner that is ready.
     *
     * @param workers the number of workers
     */
    public CellLoad(int workers) {
        HarnessTimes usual = HarnessTimes.DEFAULT;
        HarnessTimes times =
                new HarnessTimes(
                        10,
                        usual.storeDelayMillis(),
                        usual.workerDelayMillis(),
                        usual.listMillis(),
                        usual.pauseMillis(),
                        usual.lateMillis(),
                        usual.outageMillis(),
                        usual.replaceMillis());
        harness = new CellHarness(CellSettings.DEFAULT, times, calls);
        for (int index = 0; index < workers; index++) {
            harness.addWorker(
                    "worker-" + (1_000 + index),
                    new Resources(WORKER_PROCESSORS, WORKER_MEMORY, 0));
        }
        harness.addOwner("entry-1");
        pass(WARM_UP_MILLIS);
    }

    /**
     * Returns the cell.
     *
     * @return the cell
     */
    public CellHarness harness() {
        return harness;
    }

    /**
     * Returns the counted calls.
     *
     * @return the calls
     */
    CallCounter calls() {
        return calls;
    }

    /**
     * Returns the latencies of the acceptances.
     *
     * @return the latencies, in milliseconds
     */
    Histogram latencies() {
        return latencies;
    }

    /**
     * Returns the number of jobs accepted so far.
     *
     * @return the number of jobs
     */
    public long accepted() {
        return accepted;
    }

    /**
     * Lets time pass.
     *
     * @param millis how long, in milliseconds
     */
    public void pass(long millis) {
        harness.clock().run(harness.clock().nowMillis() + millis, () -> false);
    }

    /**
     * Submits jobs at an even rate and waits for their acceptance.
     *
     * @param jobs how many
     * @param perSecond the rate, in jobs a second
     * @param runTimeMillis the run time of a job, in milliseconds
     */
    public void submit(long jobs, long perSecond, long runTimeMillis) {
        long target = submitted + jobs;
        for (long index = 0; index < jobs; index++) {
            harness.clock()
                    .after(index * MILLIS_PER_SECOND / perSecond, () -> submitOne(runTimeMillis));
        }
        long limit = jobs * MILLIS_PER_SECOND / perSecond + ACCEPT_LIMIT_MILLIS;
        harness.clock().run(harness.clock().nowMillis() + limit, () -> accepted == target);
    }

    /**
     * Submits one job.
     *
     * @param runTimeMillis its run time, in milliseconds
     */
    private void submitOne(long runTimeMillis) {
        submitted++;
        TaskSpec task =
                new TaskSpec(
                        new KindName("spectrum-run"),
                        new Resources(TASK_PROCESSORS, TASK_PROCESSORS, 0),
                        runTimeMillis,
                        "input-" + submitted);
        JobSubmission submission =
                new JobSubmission(
                        new RequestKey("request-" + submitted),
                        new TenantName("team-" + submitted % TENANTS),
                        WorkClass.BATCH,
                        Repeat.RESUMABLE,
                        task);
        long begin = harness.clock().nowMillis();
        harness.active()
                .ifPresent(
                        owner ->
                                harness.ask(
                                        owner,
                                        id -> new Submit(id, submission),
                                        reply -> {
                                            if (reply instanceof JobAnswer) {
                                                accepted++;
                                                latencies.recordValue(
                                                        harness.clock().nowMillis() - begin);
                                            }
                                        }));
    }
}
