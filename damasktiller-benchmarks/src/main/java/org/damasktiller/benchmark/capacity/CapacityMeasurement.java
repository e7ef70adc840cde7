package org.damasktiller.benchmark.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.damasktiller.authority.claim.ClaimSettings;
import org.damasktiller.benchmark.Bound;
import org.damasktiller.benchmark.FigureReport;
import org.damasktiller.benchmark.Measurement;
import org.damasktiller.benchmark.authority.CellLoad;
import org.damasktiller.benchmark.authority.ClaimLoad;
import org.damasktiller.error.Step;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.http.Json;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableWriter;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmChanges;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;
import org.damasktiller.worker.AttemptId;
import org.damasktiller.worker.Inventory;
import org.damasktiller.worker.Permit;
import org.damasktiller.worker.RenewCommand;
import org.damasktiller.worker.ReportAnswer;
import org.damasktiller.worker.RunningTask;
import org.damasktiller.worker.TaskUsage;
import org.damasktiller.worker.UsageReport;
import org.damasktiller.worker.WorkerStamp;

/**
 * Measures a slope for each role at three sizes or more, and works out what the role takes at the
 * size to design for.
 */
public final class CapacityMeasurement implements Measurement {

    /** An availability zone. */
    private static final ZoneName ZONE = new ZoneName("leinster-1");

    /** The numbers of live jobs of a cell. */
    private static final int[] JOBS = {2_000, 4_000, 8_000};

    /** The numbers of workers of a cell. */
    private static final int[] WORKERS = {8, 32, 100};

    /** The numbers of claims of a shard. */
    private static final int[] CLAIM_SECONDS = {5, 10, 20};

    /** The numbers of rows of a table. */
    private static final int[] ROWS = {100, 1_000, 3_000};

    /** The numbers of VMs of the list. */
    private static final int[] VMS = {1_000, 3_000, 10_000};

    /** The numbers of tasks of a worker. */
    private static final int[] TASKS = {1, 8, 24};

    /** The rate of claims and jobs while measuring, a second. */
    private static final int RATE = 1_000;

    /** How long time passes while idle cost is measured, in seconds. */
    private static final int IDLE_SECONDS = 30;

    /** The number of milliseconds in a second. */
    private static final int MILLIS = 1_000;

    /** The run time of jobs that stay live, in milliseconds. */
    private static final long LONG_RUN_MILLIS = 36_000_000;

    /** The slots of an endpoint. */
    private static final int SLOTS = 8;

    /** How often a worker's leases are renewed, in seconds. */
    private static final double RENEW_SECONDS = 5;

    /** How often an owner renews its own lease, in seconds. */
    private static final double OWNER_RENEW_SECONDS = 2;

    /** Store writes for each accepted job, the target of the issue. */
    private static final double WRITES_PER_JOB = 0.05;

    /** The number of seconds in a day. */
    private static final double SECONDS_PER_DAY = 86_400;

    /** How often each entry VM reads the list of VMs, a second. */
    private static final double LIST_READS_PER_SECOND = 1;

    /** The number of tenants. */
    private static final int TENANTS = 120;

    /** The size of a task. */
    private static final Resources TASK_SIZE = new Resources(500, 512, 0);

    /** The declared run time of a kind of work, in milliseconds. */
    private static final long RUN_TIME_MILLIS = 90_000;

    /** A generation of an owner. */
    private static final long GENERATION = 12;

    /** The number of claim shards. */
    private static final int CLAIM_SHARDS = 4;

    /** Creates the measurement. */
    public CapacityMeasurement() {}

    @Override
    public void run(boolean quick, FigureReport report) {
        measureCellOwner(report);
        measureClaimOwner(report);
        MemberCapacity.measure(report);
        RouterCapacity.measure(report);
        measureTable(report);
        measureVmList(report);
        measureWorker(report);
        measureStore(report);
    }

    /**
     * Measures the owner of a cell, its stand-in workers and store included.
     *
     * @param report where the figures go
     */
    private static void measureCellOwner(FigureReport report) {
        Slope heap =
                Slope.of(JOBS, jobs -> Resource.heapOf(() -> cellWithJobs(jobs)))
                        .report(report, "cell_owner_heap", "bytes/job");
        Slope processor =
                Slope.of(WORKERS, CapacityMeasurement::idleCellCores)
                        .report(report, "cell_owner_idle_processor", "cores/worker");
        double cellsPerVm = DesignSize.CELLS / DesignSize.ENTRY_VMS;
        double jobsPerCell = DesignSize.TASKS / DesignSize.CELLS;
        report.add(
                "cell_owner_memory_at_design_size",
                heap.at(jobsPerCell) * cellsPerVm / DesignSize.BYTES_PER_MEGABYTE,
                "MB",
                DesignSize.MEGABYTES,
                Bound.AT_MOST);
        report.add(
                "cell_owner_idle_cores_at_design_size",
                processor.at(DesignSize.WORKERS_PER_CELL) * cellsPerVm,
                "cores",
                DesignSize.CORE_SHARE,
                Bound.AT_MOST);
    }

    /**
     * Makes a cell with live jobs.
     *
     * @param jobs the number of jobs
     * @return the cell
     */
    private static CellLoad cellWithJobs(int jobs) {
        CellLoad load = new CellLoad((int) DesignSize.WORKERS_PER_CELL);
        load.submit(jobs, RATE, LONG_RUN_MILLIS);
        return load;
    }

    /**
     * Measures what a cell takes while nothing changes and every worker runs tasks.
     *
     * @param workers the number of workers
     * @return the part of a core
     */
    private static double idleCellCores(int workers) {
        CellLoad load = new CellLoad(workers);
        load.submit(workers * (long) TASKS[2], RATE, LONG_RUN_MILLIS);
        load.pass((long) IDLE_SECONDS * MILLIS);
        double nanos = Resource.processorNanosOf(() -> load.pass((long) IDLE_SECONDS * MILLIS));
        return nanos / IDLE_SECONDS / DesignSize.NANOS_PER_SECOND;
    }

    /**
     * Measures the owner of a claim shard.
     *
     * @param report where the figures go
     */
    private static void measureClaimOwner(FigureReport report) {
        int[] claims = Arrays.stream(CLAIM_SECONDS).map(each -> each * RATE).toArray();
        Slope.of(
                        claims,
                        count ->
                                Resource.heapOf(
                                        () -> {
                                            ClaimLoad load = new ClaimLoad(ClaimSettings.DEFAULT);
                                            load.run(RATE, count / RATE);
                                            return load;
                                        }))
                .report(report, "claim_owner_heap", "bytes/claim");
    }

    /**
     * Measures the table on a member.
     *
     * @param report where the figures go
     */
    private static void measureTable(FigureReport report) {
        Slope.of(ROWS, rows -> TableWriter.write(table(rows)).length)
                .report(report, "table_text", "bytes/row");
        Slope.of(ROWS, rows -> Resource.heapOf(() -> table(rows)))
                .report(report, "table_heap", "bytes/row");
    }

    /**
     * Makes a table.
     *
     * @param rows the number of rows
     * @return the table
     */
    private static OperatorTable table(int rows) {
        List<KindOfWork> kinds = new ArrayList<>();
        for (int index = 0; index < rows; index++) {
            kinds.add(
                    KindOfWork.builder(
                                    new KindName("kind-" + index),
                                    new TenantName("team-" + index % TENANTS))
                            .declared(TASK_SIZE)
                            .runTimeMillis(RUN_TIME_MILLIS)
                            .build());
        }
        return OperatorTable.of(1, kinds);
    }

    /**
     * Measures the reading of the platform's list of VMs.
     *
     * @param report where the figures go
     */
    private static void measureVmList(FigureReport report) {
        Slope bytes =
                Slope.of(VMS, count -> listText(count).length)
                        .report(report, "vm_list_text", "bytes/vm");
        readList(listText(VMS[0]));
        Slope nanos =
                Slope.of(
                                VMS,
                                count -> {
                                    byte[] text = listText(count);
                                    return Resource.processorNanosOf(() -> readList(text));
                                })
                        .report(report, "vm_list_read", "ns/vm");
        Slope.of(VMS, count -> Resource.heapOf(() -> readList(listText(count))))
                .report(report, "vm_list_heap", "bytes/vm");
        double changesPerSecond = DesignSize.LIST_CHANGES_PER_DAY / SECONDS_PER_DAY;
        report.add(
                "vm_list_bytes_at_design_size",
                Json.write(new VmChanges(VMS[2], false, List.of())).length() * LIST_READS_PER_SECOND
                        + bytes.perUnit() * changesPerSecond,
                "bytes/s",
                DesignSize.BYTES_PER_SECOND,
                Bound.AT_MOST);
        report.add("vm_list_bytes_of_one_whole_reading", bytes.at(DesignSize.WORKERS), "bytes");
        report.add(
                "vm_list_cores_at_design_size",
                nanos.at(DesignSize.WORKERS) * changesPerSecond / DesignSize.NANOS_PER_SECOND,
                "cores",
                DesignSize.CORE_SHARE,
                Bound.AT_MOST);
    }

    /**
     * Reads a list of VMs.
     *
     * @param text the list as JSON
     * @return the view
     */
    private static FleetView readList(byte[] text) {
        return FleetView.EMPTY.with(Json.read(text, VmChanges.class, Step.READ, ""));
    }

    /**
     * Writes a list of VMs.
     *
     * @param count the number of VMs
     * @return the list as JSON
     */
    private static byte[] listText(int count) {
        List<VmRecord> records = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            records.add(
                    new VmRecord(
                            "worker-" + index,
                            "10.2.0.1:" + index,
                            ZONE,
                            new RackName("rack-" + index / SLOTS),
                            VmRole.WORKER,
                            VmState.LIVE));
        }
        return Json.write(new VmChanges(count, true, records)).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Measures the messages between an owner and one worker.
     *
     * @param report where the figures go
     */
    private static void measureWorker(FigureReport report) {
        Slope bytes =
                Slope.of(TASKS, CapacityMeasurement::renewalBytes)
                        .report(report, "worker_renewal", "bytes/task");
        double tasksPerWorker = DesignSize.TASKS / DesignSize.WORKERS;
        report.add(
                "worker_bytes_at_design_size",
                bytes.at(tasksPerWorker) / RENEW_SECONDS,
                "bytes/s",
                DesignSize.BYTES_PER_SECOND,
                Bound.AT_MOST);
        double workersPerVm = DesignSize.WORKERS / DesignSize.ENTRY_VMS;
        report.add(
                "owner_bytes_to_workers_at_design_size",
                bytes.at(tasksPerWorker) / RENEW_SECONDS * workersPerVm,
                "bytes/s",
                DesignSize.BYTES_PER_SECOND,
                Bound.AT_MOST);
    }

    /**
     * Writes a renewal and its answer.
     *
     * @param tasks the number of tasks
     * @return the bytes of both
     */
    private static double renewalBytes(int tasks) {
        WorkerStamp stamp = new WorkerStamp("worker-1000 3", LONG_RUN_MILLIS);
        List<AttemptId> attempts = new ArrayList<>();
        for (int index = 0; index < tasks; index++) {
            attempts.add(new AttemptId(new JobId("leinster-1.0-12-" + index), 1));
        }
        RenewCommand command =
                new RenewCommand(
                        new Permit(GENERATION, stamp, (long) IDLE_SECONDS * MILLIS), attempts);
        ReportAnswer answer =
                new ReportAnswer(
                        stamp,
                        new Inventory(
                                attempts.stream()
                                        .map(attempt -> new RunningTask(attempt, TASK_SIZE, 100))
                                        .toList(),
                                List.of(),
                                List.of()),
                        new UsageReport(
                                LONG_RUN_MILLIS,
                                attempts.stream()
                                        .map(attempt -> new TaskUsage(attempt, TASK_SIZE))
                                        .toList()));
        return Json.write(command).length() + Json.write(answer).length();
    }

    /**
     * Works out the calls to the key-value service.
     *
     * @param report where the figures go
     */
    private static void measureStore(FigureReport report) {
        double renewals = DesignSize.CELLS / OWNER_RENEW_SECONDS;
        double commits = DesignSize.JOBS_PER_DAY / SECONDS_PER_DAY * WRITES_PER_JOB;
        double burst = DesignSize.STARTS_PER_SECOND * WRITES_PER_JOB;
        report.add("store_renewals_at_design_size", renewals, "writes/s");
        report.add(
                "store_writes_at_design_size",
                renewals + commits,
                "writes/s",
                DesignSize.STORE_WRITES,
                Bound.AT_MOST);
        report.add(
                "store_writes_if_every_start_of_the_peak_is_a_new_job",
                renewals + burst,
                "writes/s",
                DesignSize.STORE_WRITES,
                Bound.AT_MOST);
        report.add(
                "store_reads_of_standbys_of_claim_shards_at_design_size",
                DesignSize.ENTRY_VMS * CLAIM_SHARDS,
                "reads/s",
                DesignSize.STORE_READS,
                Bound.AT_MOST);
    }
}
