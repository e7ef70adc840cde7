package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.decision.dispatch.DispatchAction;
import org.damasktiller.decision.dispatch.DispatchSettings;
import org.damasktiller.decision.dispatch.Dispatcher;
import org.damasktiller.decision.dispatch.ServiceReport;
import org.damasktiller.decision.dispatch.StartTask;
import org.damasktiller.decision.dispatch.TaskResult;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.WorkClass;

/** Fills a dispatcher with the tasks of the size to design for, and exchanges them. */
final class LoadedFleet {

    /** The batch tasks of each worker. */
    static final int BATCH_PER_WORKER = 22;

    /** The latency-critical tasks of ten workers. */
    static final int SERVICES_PER_TEN_WORKERS = 22;

    /** The kinds of batch work. */
    private static final int BATCH_KINDS = 180;

    /** The kinds of services. */
    private static final int SERVICE_KINDS = 20;

    /** The tenants. */
    private static final int TENANTS = 120;

    /** The availability zones. */
    private static final int ZONES = 9;

    /** The workers of a rack. */
    private static final int RACK = 20;

    /** The batch jobs that wait. */
    private static final int WAITING = 2000;

    /** The batch jobs that end before a round. */
    private static final int EXCHANGED = 100;

    /** The service reports handled for each hundred starts. */
    private static final int REPORTS = 20;

    /** The size of a worker. */
    private static final Resources CAPACITY = new Resources(64_000, 250_000, 0);

    /** The size of a batch job. */
    private static final Resources BATCH = new Resources(2000, 4000, 0);

    /** The size of a service. */
    private static final Resources SERVICE = new Resources(4000, 8000, 0);

    /** The seed of the load. */
    private static final long LOAD_SEED = 77;

    /** The seed of the dispatcher's random choices. */
    private static final long CHOICE_SEED = 78;

    /** The quota of each tenant, never reached. */
    private static final Resources QUOTA = new Resources(1L << 40, 1L << 40, 0);

    /** The number of different weights. */
    private static final int WEIGHTS = 5;

    /** The least latency reported, in milliseconds. */
    private static final double LATENCY_MILLIS = 50;

    /** By which part the reported latencies differ. */
    private static final double LATENCY_SPREAD = 0.2;

    /** The least processors reported as used by a service, in thousandths. */
    private static final long LEAST_USED = 1000;

    /** The length of a measurement of a service, in milliseconds. */
    private static final long REPORT_MILLIS = 10_000;

    /** The dispatcher. */
    private final Dispatcher dispatcher;

    /** The source of randomness. */
    private final SplittableRandom random = new SplittableRandom(LOAD_SEED);

    /** The running batch jobs. */
    private final List<JobId> running = new ArrayList<>();

    /** The services. */
    private final List<JobId> services = new ArrayList<>();

    /** The number of jobs so far. */
    private long jobs;

    /** The time, in milliseconds. */
    private long nowMillis;

    /**
     * Fills a fleet.
     *
     * @param workers the number of workers
     */
    LoadedFleet(int workers) {
        dispatcher = new Dispatcher(DispatchSettings.ORDINARY, new SplittableRandom(CHOICE_SEED));
        for (int kind = 0; kind < BATCH_KINDS + SERVICE_KINDS; kind++) {
            boolean service = kind < SERVICE_KINDS;
            TenantName tenant = new TenantName("tenant-" + kind % TENANTS);
            dispatcher.putQuota(tenant, QUOTA);
            dispatcher.putKind(
                    KindOfWork.builder(kind(kind), tenant)
                            .workClass(service ? WorkClass.INTERACTIVE : WorkClass.BATCH)
                            .weight(1 + kind % WEIGHTS)
                            .declared(service ? SERVICE : BATCH)
                            .build(),
                    0);
        }
        for (int worker = 0; worker < workers; worker++) {
            ZoneName zone = new ZoneName("zone-" + worker % ZONES);
            RackName rack = new RackName("rack-" + worker / RACK);
            dispatcher.addWorker(new WorkerSpec(worker(worker), zone, rack, CAPACITY));
        }
        fill(workers);
    }

    /**
     * Exchanges batch jobs: some end, as many arrive, and a round starts what can start.
     *
     * @return the number of starts
     */
    int exchange() {
        nowMillis += 10;
        for (int each = 0; each < EXCHANGED; each++) {
            int at = random.nextInt(running.size());
            JobId ended = running.get(at);
            running.set(at, running.get(running.size() - 1));
            running.remove(running.size() - 1);
            dispatcher.onEnded(ended, TaskResult.SUCCEEDED, nowMillis);
            submit();
        }
        for (int each = 0; each < REPORTS; each++) {
            report();
        }
        int starts = 0;
        for (DispatchAction action : dispatcher.round(nowMillis)) {
            if (action instanceof StartTask start) {
                running.add(start.job());
                starts++;
            }
        }
        return starts;
    }

    /**
     * Submits jobs that wait, to be cancelled.
     *
     * @param count the number
     * @return the jobs
     */
    List<JobId> submitWave(int count) {
        List<JobId> wave = new ArrayList<>();
        for (int each = 0; each < count; each++) {
            wave.add(submit());
        }
        return wave;
    }

    /**
     * Cancels jobs.
     *
     * @param wave the jobs
     */
    void cancel(List<JobId> wave) {
        wave.forEach(dispatcher::cancel);
    }

    /**
     * Returns the number of running tasks.
     *
     * @return the batch tasks and services
     */
    int tasks() {
        return running.size() + services.size();
    }

    /**
     * Places the services and batch tasks of the design.
     *
     * @param workers the number of workers
     */
    private void fill(int workers) {
        for (int service = 0; service < workers * SERVICES_PER_TEN_WORKERS / 10; service++) {
            JobId id = new JobId("service-" + service);
            KindName kind = kind(service % SERVICE_KINDS);
            WorkerId worker = worker(service % workers);
            dispatcher.adopt(new PendingJob(id, kind, SERVICE, 0), worker, SERVICE, 0);
            services.add(id);
        }
        for (int worker = 0; worker < workers; worker++) {
            for (int each = 0; each < BATCH_PER_WORKER; each++) {
                PendingJob job = job();
                if (dispatcher.adopt(job, worker(worker), BATCH, 0)) {
                    running.add(job.id());
                }
            }
        }
        for (int each = 0; each < WAITING; each++) {
            submit();
        }
    }

    /** Handles a measurement of a random service. */
    private void report() {
        JobId service = services.get(random.nextInt(services.size()));
        double latency = LATENCY_MILLIS * (1 + LATENCY_SPREAD * random.nextDouble());
        long used = random.nextLong(LEAST_USED, 2 * LEAST_USED);
        dispatcher.onService(
                new ServiceReport(service, used, latency, nowMillis - REPORT_MILLIS, nowMillis),
                nowMillis);
    }

    /**
     * Submits a batch job.
     *
     * @return the job
     */
    private JobId submit() {
        PendingJob job = job();
        dispatcher.submit(job, nowMillis);
        return job.id();
    }

    /**
     * Creates a batch job of a random kind.
     *
     * @return the job
     */
    private PendingJob job() {
        JobId id = new JobId("job-" + ++jobs);
        int kind = SERVICE_KINDS + random.nextInt(BATCH_KINDS);
        return new PendingJob(id, kind(kind), BATCH, nowMillis);
    }

    /**
     * Returns the name of a kind.
     *
     * @param kind the number
     * @return the name
     */
    private static KindName kind(int kind) {
        return new KindName("kind-" + kind);
    }

    /**
     * Returns the name of a worker.
     *
     * @param worker the number
     * @return the name
     */
    private static WorkerId worker(int worker) {
        return new WorkerId("worker-" + worker);
    }
}
