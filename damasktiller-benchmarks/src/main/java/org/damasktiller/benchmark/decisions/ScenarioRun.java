package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.damasktiller.decision.dispatch.DispatchAction;
import org.damasktiller.decision.dispatch.GiveUpJob;
import org.damasktiller.decision.dispatch.ResizeTask;
import org.damasktiller.decision.dispatch.StartTask;
import org.damasktiller.decision.dispatch.StopTask;
import org.damasktiller.decision.dispatch.TaskResult;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.jspecify.annotations.Nullable;

/** Runs one scenario under one policy with a paused clock that advances by seconds. */
final class ScenarioRun {

    /** The number of zones. */
    private static final int ZONES = 3;

    /** The number of workers in a rack. */
    private static final int RACK = 8;

    /** The worker that fails every task in the scenario of a black hole. */
    private static final int BLACK_HOLE = 5;

    /** How long a failing worker takes to fail a task, in seconds. */
    private static final int FAIL_SECONDS = 1;

    /** How long a poisoned job takes to fail, in seconds. */
    private static final int POISON_SECONDS = 5;

    /** How long a stop takes, in seconds. */
    private static final int STOP_SECONDS = 2;

    /** How long after their submission the jobs of a wave are cancelled, in seconds. */
    private static final int CANCEL_SECONDS = 60;

    /** The slowdown above which a service is slow. */
    private static final double SLOW = 1.2;

    /** The spread of the logarithm of a request's latency. */
    private static final double LATENCY_SPREAD = 0.35;

    /** How many requests of an instance at full load are recorded in a second. */
    private static final double REQUESTS = 10;

    /** The thirds of a run after which a failing worker is repaired. */
    private static final int REPAIR_THIRDS = 2;

    /** The number of thirds. */
    private static final int THIRDS = 3;

    /** The time between two readings of the shares, in seconds. */
    private static final int SHARE_SECONDS = 60;

    /** The milliseconds of a second. */
    private static final long SECOND = 1000;

    /** The deployment. */
    private final Deployment deployment;

    /** The scenario. */
    private final Scenario scenario;

    /** The policy. */
    private final Policy policy;

    /** Whether batch and urgent jobs arrive. */
    private final boolean withBatch;

    /** The hidden kinds. */
    private final World world;

    /** The scenario over time. */
    private final Profile profile;

    /** The jobs. */
    private final Arrivals arrivals;

    /** The reports. */
    private final Reports reports;

    /** The source of randomness of latencies. */
    private final SplittableRandom requests;

    /** The workers. */
    private final List<FakeWorker> workers = new ArrayList<>();

    /** The workers by name. */
    private final Map<WorkerId, FakeWorker> byName = new HashMap<>();

    /** The instances of services. */
    private final Map<JobId, FakeService> services = new HashMap<>();

    /** The jobs that are not ended. */
    private final Map<JobId, FakeTask> jobs = new HashMap<>();

    /** The worker of each running task. */
    private final Map<JobId, FakeWorker> places = new HashMap<>();

    /** The jobs of the wave of cancellations. */
    private List<FakeTask> wave = List.of();

    /** The length of the run, in seconds. */
    private final int seconds;

    /** The shares read back. */
    private final ShareWatch shares = new ShareWatch();

    /** The figures. */
    private final RunFigures figures = new RunFigures();

    /** The time, in seconds. */
    private int now;

    /**
     * Creates a run.
     *
     * @param deployment the deployment
     * @param scenario the scenario
     * @param policy the policy
     * @param withBatch whether batch and urgent jobs arrive
     * @param seed the seed
     * @param seconds the length of the run, in seconds
     */
    ScenarioRun(
            Deployment deployment,
            Scenario scenario,
            Policy policy,
            boolean withBatch,
            long seed,
            int seconds) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.policy = policy;
        this.withBatch = withBatch;
        this.seconds = seconds;
        SplittableRandom seeds = new SplittableRandom(seed);
        world = new World(deployment, scenario, seeds.nextLong());
        profile = new Profile(scenario, seconds);
        arrivals = new Arrivals(deployment, world, profile, seeds.nextLong());
        reports = new Reports(seeds.nextLong());
        requests = new SplittableRandom(seeds.nextLong());
        addKinds();
        addWorkers();
        addServices();
    }

    /**
     * Runs the scenario.
     *
     * @return the figures
     */
    RunFigures run() {
        for (now = 0; now < seconds; now++) {
            change();
            if (withBatch) {
                arrivals.during(now).forEach(this::submit);
            }
            apply(reports.deliver(policy, now));
            apply(policy.round((now + 1) * SECOND));
            advance();
            readShares();
        }
        figures.shareError = shares.largestError();
        for (FakeTask task : jobs.values()) {
            if (!task.started && !task.poisoned && !task.cancelled) {
                waited(task);
            }
        }
        return figures;
    }

    /**
     * Returns the hidden kinds.
     *
     * @return the kinds
     */
    World world() {
        return world;
    }

    /** Reads the shares back once a minute after the change of the scenario. */
    private void readShares() {
        boolean due = now > profile.changeSecond() && now % SHARE_SECONDS == 0;
        if (due && policy instanceof DispatcherPolicy dispatcher) {
            shares.read(dispatcher.shares(now * SECOND));
        }
    }

    /** Makes the changes of the scenario that are due. */
    private void change() {
        int since = now - profile.changeSecond();
        if (scenario == Scenario.BLACK_HOLE_WORKER) {
            workers.get(BLACK_HOLE).failing = since >= 0 && now < seconds * REPAIR_THIRDS / THIRDS;
        }
        if (scenario == Scenario.LOAD_SHIFT && since == 0) {
            world.swapHarm();
        }
        if (scenario == Scenario.CANCELLATION_WAVE && since == 0 && withBatch) {
            wave = arrivals.wave(now);
            wave.forEach(this::submit);
        }
        if (scenario == Scenario.CANCELLATION_WAVE && since == CANCEL_SECONDS) {
            wave.forEach(this::cancel);
        }
    }

    /** Adds the rows of the table. */
    private void addKinds() {
        for (int kind = 0; kind < World.KINDS; kind++) {
            policy.putKind(world.kind(kind).row(), 0);
        }
    }

    /** Adds the workers. */
    private void addWorkers() {
        for (int number = 0; number < deployment.workers(); number++) {
            int zone = number % ZONES;
            WorkerSpec spec =
                    new WorkerSpec(
                            new WorkerId("worker-" + number),
                            new ZoneName("zone-" + zone),
                            new RackName("rack-" + number / RACK),
                            deployment.capacity());
            FakeWorker worker = new FakeWorker(spec, zone, world);
            workers.add(worker);
            byName.put(spec.id(), worker);
            policy.addWorker(spec);
        }
    }

    /** Adds as many instances of services as there are workers. */
    private void addServices() {
        int instances = workers.size();
        for (int instance = 0; instance < instances; instance++) {
            int kind = instance % World.SERVICES;
            HiddenKind hidden = world.kind(kind);
            JobId id = new JobId("service-" + instance);
            PendingJob job = new PendingJob(id, hidden.row().name(), hidden.size(), 0);
            FakeWorker worker = workers.get(policy.serviceWorker(instance, instances));
            FakeService service = new FakeService(job, kind, instance % ZONES, hidden.size());
            worker.services.add(service);
            services.put(id, service);
            policy.addService(job, worker.spec.id());
        }
    }

    /**
     * Submits a job.
     *
     * @param task the job
     */
    private void submit(FakeTask task) {
        jobs.put(task.job.id(), task);
        figures.hopeless += task.poisoned ? 1 : 0;
        apply(policy.submit(task.job, now * SECOND));
    }

    /**
     * Cancels a job unless it has ended.
     *
     * @param task the job
     */
    private void cancel(FakeTask task) {
        if (jobs.containsKey(task.job.id())) {
            task.cancelled = true;
            apply(policy.cancel(task.job.id()));
            if (!places.containsKey(task.job.id())) {
                jobs.remove(task.job.id());
            }
        }
    }

    /**
     * Carries out actions.
     *
     * @param actions the actions
     */
    private void apply(List<DispatchAction> actions) {
        for (DispatchAction action : actions) {
            if (action instanceof StartTask start) {
                start(start);
            } else if (action instanceof ResizeTask resize) {
                resize(resize.job(), resize.size());
            } else if (action instanceof StopTask stop) {
                stop(stop.job());
            } else if (action instanceof GiveUpJob job) {
                jobs.remove(job.job());
                figures.poisoned += job.poisoned() ? 1 : 0;
                figures.refused += job.poisoned() ? 0 : 1;
            }
        }
    }

    /**
     * Starts a task.
     *
     * @param start the action
     */
    private void start(StartTask start) {
        FakeTask task = jobs.get(start.job());
        FakeWorker worker = byName.get(start.worker());
        if (task == null || worker == null || places.containsKey(start.job())) {
            throw new IllegalStateException("start of an unknown or running job: " + start);
        }
        task.reserved = start.size();
        task.attemptSeconds = 0;
        task.stopSecond = -1;
        worker.tasks.put(start.job(), task);
        places.put(start.job(), worker);
        if (!task.started) {
            task.started = true;
            waited(task);
        }
        figures.starts++;
        figures.startsOnFailing += worker.failing ? 1 : 0;
        boolean repaired =
                now >= seconds * REPAIR_THIRDS / THIRDS && worker == workers.get(BLACK_HOLE);
        figures.startsOnRepaired += repaired ? 1 : 0;
    }

    /**
     * Records how long a job waited for its first start.
     *
     * @param task the job
     */
    private void waited(FakeTask task) {
        double wait = now + 1 - task.arrivedSecond;
        if (task.kind == World.URGENT) {
            figures.urgentWaits.recordValue(Math.round(wait * SECOND * SECOND));
        } else {
            figures.longestWaitSeconds = Math.max(figures.longestWaitSeconds, wait);
        }
    }

    /**
     * Changes a reservation.
     *
     * @param job the job
     * @param size the new reservation
     */
    private void resize(JobId job, Resources size) {
        FakeService service = services.get(job);
        if (service != null) {
            service.reserved = size;
            return;
        }
        FakeTask task = jobs.get(job);
        if (task != null) {
            task.reserved = size;
        }
    }

    /**
     * Begins to stop a task.
     *
     * @param job the job
     */
    private void stop(JobId job) {
        FakeTask task = jobs.get(job);
        if (task != null && places.containsKey(job) && task.stopSecond < 0) {
            task.stopSecond = now + STOP_SECONDS;
        }
    }

    /** Lets all workers run for a second and records what happened. */
    private void advance() {
        for (int number = 0; number < workers.size(); number++) {
            FakeWorker worker = workers.get(number);
            for (FakeService service : worker.services) {
                service.load = profile.serviceLoad(service.zone, now);
            }
            if (!worker.reserved().fitsWithin(worker.spec.capacity())) {
                figures.overcommits++;
            }
            figures.work += worker.advance();
            figures.utilisation += worker.utilisation();
            figures.utilisationCount++;
            worker.services.forEach(this::record);
            reports.measure(worker, number, now);
            for (FakeTask task : List.copyOf(worker.tasks.values())) {
                endIfDue(worker, task);
            }
        }
    }

    /**
     * Records the latencies of a service in the last second.
     *
     * @param service the instance
     */
    private void record(FakeService service) {
        int count = 1 + (int) Math.round(service.load * REQUESTS);
        double median = service.latencyMillis();
        for (int request = 0; request < count; request++) {
            double factor = Math.exp(LATENCY_SPREAD * requests.nextGaussian());
            figures.latencies.recordValue(Math.round(median * factor * SECOND));
        }
        figures.serviceSeconds++;
        figures.slowSeconds += service.slowdown > SLOW ? 1 : 0;
    }

    /**
     * Ends a task if it is complete, has failed or was stopped.
     *
     * @param worker the worker
     * @param task the task
     */
    private void endIfDue(FakeWorker worker, FakeTask task) {
        TaskResult result = result(worker, task);
        if (result == null) {
            return;
        }
        JobId id = task.job.id();
        worker.tasks.remove(id);
        places.remove(id);
        if (result == TaskResult.SUCCEEDED || result == TaskResult.CANCELLED) {
            jobs.remove(id);
            figures.finished += result == TaskResult.SUCCEEDED ? 1 : 0;
        } else {
            double lost = (task.progress - task.checkpoint) * task.size.milliProcessors() / SECOND;
            figures.lostWork += lost;
            figures.work -= lost;
            figures.evictions += result == TaskResult.EVICTED ? 1 : 0;
            task.progress = task.checkpoint;
        }
        apply(policy.onEnded(id, result, (now + 1) * SECOND));
    }

    /**
     * Tells whether and how a task ends now.
     *
     * @param worker the worker
     * @param task the task
     * @return the result, or null if it goes on
     */
    private @Nullable TaskResult result(FakeWorker worker, FakeTask task) {
        if (task.progress >= task.totalSeconds) {
            return TaskResult.SUCCEEDED;
        }
        if (worker.failing && task.attemptSeconds >= FAIL_SECONDS) {
            return TaskResult.FAILED;
        }
        if (task.poisoned && task.attemptSeconds >= POISON_SECONDS) {
            return TaskResult.FAILED;
        }
        if (task.stopSecond < 0 || now < task.stopSecond) {
            return null;
        }
        return task.cancelled ? TaskResult.CANCELLED : TaskResult.EVICTED;
    }
}
