package org.damasktiller.scheduler.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damasktiller.scheduler.evacuation.ZoneGuard;
import org.damasktiller.scheduler.fatal.FatalErrors;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.WorkerClient;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Holds the state that the components of a cell's owner share: the open jobs, the workers, the
 * term, and the ports to the store, the workers and the clock.
 */
final class CellContext {

    /** The name of the cell. */
    final String cell;

    /** The term for which this process owns the cell. */
    final CellTerm term;

    /** The intervals and limits. */
    final CellSettings settings;

    /** The metadata store. */
    final MetadataStore store;

    /** Sends requests to workers. */
    final WorkerClient workerClient;

    /** The clock and the timers. */
    final ProcessRuntime runtime;

    /** The log of scheduling decisions. */
    final DecisionLog log;

    /** Computes when the leases of workers expire. */
    final LeaseCalculator leases;

    /** The open submissions, by submission identifier. */
    final Map<String, Job> jobs = new LinkedHashMap<>();

    /**
     * The workers of the cell, by worker identifier. An unlisted worker stays until nothing runs
     * there and its leases have expired.
     */
    final Map<String, WorkerRecord> workers = new LinkedHashMap<>();

    /** The names of the other cells of the service. */
    final Set<String> siblingCells;

    /**
     * Whether the term has ended; from then on no component sends, stores or schedules anything.
     */
    boolean ended;

    /**
     * When the last successful ownership check was sent, in milliseconds. A successor may have
     * extended leases since then.
     */
    long ownershipCheckedAtMillis = Long.MIN_VALUE;

    /** Tells which zones may get starts. */
    ZoneGuard zoneGuard = ZoneGuard.OPEN;

    /** The number of steps with waiting tasks in the last pass. */
    int waitingSteps;

    /** Tells when the store last answered the watch of the worker entries, in milliseconds. */
    LongSupplier workerEntriesReadAtMillis = () -> Long.MIN_VALUE / 2;

    /** Tracks what the owners of earlier terms may still run or start. */
    final PreviousOwners previousOwners = new PreviousOwners(this);

    /** Decides which workers the stored roster names. */
    final Roster roster = new Roster(this);

    /** The submissions that have moved to another cell. */
    final DepartedSubmissions departed = new DepartedSubmissions();

    /** The stored submissions that are not loaded. */
    final UnloadedSubmissions unloaded = new UnloadedSubmissions();

    /** Estimates the memory that the open submissions take. */
    final OpenWork openWork = new OpenWork(this);

    /** Counts what the passes over the waiting tasks and the ends of runs take. */
    final WorkCounters workCounters = new WorkCounters();

    /** Logs the work that holds the event loop for long. */
    final LoopUsage loopUsage = new LoopUsage(this);

    /** The manifest in effect. */
    private Manifest manifest;

    /**
     * The submissions that this owner has closed, by identifier. A listing that the store had
     * already begun to return may still contain them, and they must not be admitted again.
     */
    private final Set<String> closedIds = new HashSet<>();

    /** The submissions among them of which tasks have moved between cells. */
    private final Set<String> closedMovedIds = new HashSet<>();

    /** Called once with the reason when the term ends. */
    private final Consumer<String> onTermEnd;

    /**
     * Creates the shared state of an owner that has not started.
     *
     * @param environment the ports, the settings and the current manifest
     * @param cell the name of the cell
     * @param term the term for which this process owns the cell
     * @param onTermEnd called once with the reason when the term ends
     */
    CellContext(
            CellEnvironment environment, String cell, CellTerm term, Consumer<String> onTermEnd) {
        this.cell = cell;
        this.term = term;
        this.settings = environment.settings();
        this.store = environment.store();
        this.workerClient = environment.workerClient();
        this.runtime = environment.runtime();
        this.log = environment.log();
        this.manifest = environment.manifest();
        this.siblingCells = environment.siblingCells();
        this.leases = new LeaseCalculator(settings);
        this.onTermEnd = onTermEnd;
    }

    /**
     * Returns the manifest in effect.
     *
     * @return the manifest
     */
    Manifest manifest() {
        return manifest;
    }

    /**
     * Replaces the manifest in effect, and what the queues of the open jobs grant.
     *
     * @param newManifest the new manifest
     */
    void updateManifest(Manifest newManifest) {
        manifest = newManifest;
        Map<String, Route> routes = newManifest.routesByName();
        for (Job job : jobs.values()) {
            job.updateTerms(routes.get(job.accepted.route()), newManifest.version());
        }
    }

    /**
     * Adds a job, with what its queue grants now.
     *
     * @param job the job
     */
    void addJob(Job job) {
        job.updateTerms(manifest.findRouteByName(job.accepted.route()), manifest.version());
        jobs.put(job.id(), job);
        openWork.onLoaded(job);
        for (TaskId task : previousOwners.heldTasks()) {
            if (task.submission().equals(job.id())) {
                job.findTask(task);
            }
        }
    }

    /** Gives the tasks that previous owners may still run records, in which they can be held. */
    void keepHeldTasks() {
        for (TaskId task : previousOwners.heldTasks()) {
            Job job = jobs.get(task.submission());
            if (job != null) {
                job.findTask(task);
            }
        }
    }

    /**
     * Ends the term. From then on the owner sends no requests to workers and stores nothing. Later
     * calls have no effect.
     *
     * @param reason why the term ends, for the log
     */
    void endTerm(String reason) {
        if (!ended) {
            ended = true;
            log.log("owner.ended", "cell", cell, "generation", term.generation(), "reason", reason);
            onTermEnd.accept(reason);
        }
    }

    /**
     * Returns the current time of the monotonic clock.
     *
     * @return the time since an arbitrary moment, in milliseconds
     */
    long now() {
        return runtime.nowMillis();
    }

    /**
     * Takes note of the answer to a call with a lease. If a boot that this owner does not know has
     * received it, the worker gets no more until that boot answers a poll.
     *
     * @param worker the worker
     * @param lease the lease
     * @param reply the answer; a worker of another identifier has not taken the lease
     */
    void onLeaseAnswered(WorkerRecord worker, LeaseGrant lease, WorkerReply reply) {
        if (reply.status() != WorkerStatus.OTHER_WORKER
                && leases.onAnswered(worker, lease, reply.clockMillis(), now())) {
            WorkerPoller.doubtBoot(worker, now());
            log.log(
                    "lease.other-boot",
                    "worker",
                    worker.id,
                    "clock",
                    reply.clockMillis(),
                    "lowest",
                    lease.lowestClockMillis(),
                    "leaseEnd",
                    lease.endMillis(),
                    "millis",
                    worker.leasesExpireAtMillis - now());
        }
    }

    /**
     * Returns whether leases that this or a previous owner has granted are over. Their time must
     * have passed, and an ownership check that was sent after that must have succeeded; otherwise a
     * successor may have extended them.
     *
     * @param expireAtMillis when their time has passed, in milliseconds
     * @return whether nothing can be active under them
     */
    boolean areLeasesOver(long expireAtMillis) {
        return now() >= expireAtMillis && ownershipCheckedAtMillis >= expireAtMillis;
    }

    /**
     * Schedules an action, which is skipped if the term has ended when it is due.
     *
     * @param delayMillis the delay, in milliseconds
     * @param action the action, run on the thread of the event loop
     */
    void schedule(long delayMillis, Runnable action) {
        runtime.schedule(
                delayMillis,
                () -> {
                    if (!ended) {
                        action.run();
                    }
                });
    }

    /**
     * Runs an action now and at intervals until the term ends. An unchecked exception ends only the
     * run in which it occurs, since the rest of the term depends on the later ones.
     *
     * @param intervalMillis the time between two runs, in milliseconds
     * @param name what the action does, for the log
     * @param action the action, run on the thread of the event loop
     */
    void repeat(long intervalMillis, String name, Runnable action) {
        schedule(intervalMillis, () -> repeat(intervalMillis, name, action));
        try {
            loopUsage.run(name, action);
        } catch (RuntimeException exception) {
            FatalErrors.rethrowFatalCause(exception);
            log.log(
                    "work.failed",
                    "cell",
                    cell,
                    "work",
                    name,
                    "error",
                    ItemGuard.describe(exception),
                    "at",
                    ItemGuard.innermostFrame(exception));
        }
    }

    /**
     * Removes a closed job and remembers its identifier, so that the submission is not admitted
     * again.
     *
     * @param job the job
     */
    void removeJob(Job job) {
        if (jobs.remove(job.id()) != null) {
            openWork.onRemoved(job);
        }
        closedIds.add(job.id());
        if (job.part != null) {
            closedMovedIds.add(job.id());
        }
    }

    /**
     * Returns the state of an open submission.
     *
     * @param id the identifier of the submission
     * @return the state, or null if the submission is not open in this cell
     */
    @Nullable SubmissionState submissionState(String id) {
        Job job = jobs.get(id);
        if (job != null) {
            return job.state;
        }
        return unloaded.contains(id) ? SubmissionState.QUEUED : null;
    }

    /**
     * Remembers the identifier of a submission that is over without having been loaded, so that it
     * is not admitted again.
     *
     * @param id the identifier of the submission
     */
    void rememberClosed(String id) {
        closedIds.add(id);
    }

    /**
     * Removes a job that has moved to another cell, from which it may return.
     *
     * @param job the job
     * @param revision the store revision at which it has left
     */
    void removeDeparted(Job job, long revision) {
        if (jobs.remove(job.id()) != null) {
            openWork.onRemoved(job);
        }
        closedMovedIds.add(job.id());
        departed.add(job.id(), revision);
        if (job.state == SubmissionState.QUEUED) {
            departed.keepCounting(job.id(), job.accepted.route(), now());
        }
    }

    /**
     * Returns whether tasks of a submission are known to have moved between cells.
     *
     * @param id the identifier of the submission
     * @return whether they have, as far as this owner has seen in its term
     */
    boolean hasMoved(String id) {
        Job job = jobs.get(id);
        return closedMovedIds.contains(id) || (job != null && job.part != null);
    }

    /**
     * Returns whether a submission is loaded or was closed in this term.
     *
     * @param id the identifier of the submission
     * @return true if this owner has already seen the submission
     */
    boolean isKnown(String id) {
        return jobs.containsKey(id) || closedIds.contains(id);
    }

    /**
     * Returns whether a worker may get starts.
     *
     * @param worker the worker
     * @param nowMillis the current time, in milliseconds
     * @return whether the worker is usable and its zone is not evacuated
     */
    boolean mayStartOn(WorkerRecord worker, long nowMillis) {
        return worker.isUsable(nowMillis) && zoneGuard.allowsStarts(worker.entry.zone(), nowMillis);
    }

    /**
     * Returns the workers of the cell.
     *
     * @return a live view of the workers; callers that remove workers must copy it first
     */
    Collection<WorkerRecord> allWorkers() {
        return workers.values();
    }
}
