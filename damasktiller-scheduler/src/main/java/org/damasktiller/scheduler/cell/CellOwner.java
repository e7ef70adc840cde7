package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Runs a cell for one term: loads its submissions, progress and workers from the store, fences the
 * workers with the generation of the term, and schedules the tasks of the cell until the term ends.
 * All methods must be called on the thread of the event loop.
 */
public final class CellOwner {

    /** The delay before a failed read is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The time between two publications of the pending counts, in milliseconds. */
    private static final long PUBLISH_MILLIS = 500;

    /** How long a worker gets no new tasks after a failed poll, in milliseconds. */
    private static final long MISSED_LOOK_MILLIS = 400;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Verifies that this process still owns the cell. */
    private final OwnershipVerifier ownership;

    /** Commits changes of jobs and of the roster. */
    private final CommitQueue commits;

    /** Applies run ends to jobs. */
    private final JobTracker jobTracker;

    /** Polls the workers. */
    private final WorkerPoller poller;

    /** Throttles fillers. */
    private final FillerThrottle fillerThrottle;

    /** Moves runs that progress too slowly. */
    private final StragglerMitigator stragglerMitigator;

    /** Moves work off draining workers. */
    private final DrainController drainController;

    /** Starts waiting tasks. */
    private final TaskScheduler taskScheduler;

    /** Watches the open submissions. */
    private final SubmissionWatcher submissionWatcher;

    /** Watches the worker entries. */
    private final WorkerEntryWatcher workerWatcher;

    /** Whether the submissions, the progress and the roster have been read. */
    private boolean loaded;

    /** Whether a pass over the waiting tasks is scheduled. */
    private boolean passPlanned;

    /** The pending counts published last; a value that matches no counts after a failure. */
    private Map<String, Integer> published = Map.of();

    /**
     * Creates an owner that has not started.
     *
     * @param environment the ports, the settings and the current manifest
     * @param cell the name of the cell
     * @param term the term for which this process owns the cell
     * @param member decides which workers belong to the cell
     * @param ended called once with the reason when the term ends
     */
    public CellOwner(
            CellEnvironment environment,
            String cell,
            CellTerm term,
            Predicate<WorkerEntry> member,
            Consumer<String> ended) {
        context = new CellContext(environment, cell, term, reason -> ended(reason, ended));
        RunTimeEstimator runTimes = new RunTimeEstimator();
        ownership = new OwnershipVerifier(context, this::planPass);
        RunRequestSender requestSender =
                new RunRequestSender(context, this::planPass, this::fenced);
        commits = new CommitQueue(context, new Commits());
        jobTracker = new JobTracker(context, commits, requestSender, runTimes);
        poller = new WorkerPoller(context, jobTracker, requestSender, new Looks());
        fillerThrottle = new FillerThrottle(context, requestSender, new InterferenceModel());
        AdviceTicketProvider advice =
                new AdviceTicketProvider(context, environment.advice(), this::planPass);
        WorkerSelector workerSelector = new WorkerSelector(context, fillerThrottle, advice);
        stragglerMitigator =
                new StragglerMitigator(context, workerSelector, requestSender, runTimes);
        drainController = new DrainController(context, requestSender, runTimes);
        taskScheduler =
                new TaskScheduler(
                        context, workerSelector, requestSender, runTimes, advice, ownership);
        submissionWatcher = new SubmissionWatcher(context, new Submissions());
        workerWatcher =
                new WorkerEntryWatcher(context, environment.formats(), member, new Workers());
    }

    /** Starts to load the cell; tasks are scheduled once all records have been read. */
    public void start() {
        context.log.log(
                "owner.began",
                "cell",
                context.cell,
                "generation",
                context.term.generation(),
                "headRevision",
                context.term.headRevision());
        submissionWatcher.start();
    }

    /**
     * Replaces the manifest in effect.
     *
     * @param manifest the new manifest
     */
    public void manifest(Manifest manifest) {
        context.manifest = manifest;
    }

    /**
     * Ends the term; has no effect if it has already ended.
     *
     * @param reason why the term ends, for the log
     */
    public void stop(String reason) {
        context.end(reason);
    }

    /**
     * Returns the state of an open submission.
     *
     * @param id the identifier of the submission
     * @return the state, or null if the submission is not open in this cell or the term has ended
     */
    public @Nullable SubmissionState state(String id) {
        Job job = context.jobs.get(id);
        return job == null || context.over ? null : job.state;
    }

    /**
     * Stops the watches when the term has ended.
     *
     * @param reason why the term ended
     * @param listener called with the reason
     */
    private void ended(String reason, Consumer<String> listener) {
        submissionWatcher.close();
        workerWatcher.close();
        listener.accept(reason);
    }

    /**
     * Ends the term after a worker has seen a higher fencing token, which only a successor can
     * have.
     */
    private void fenced() {
        context.end("a worker has seen a higher fencing token");
    }

    /** Reads the stored progress, then the roster, then the worker entries. */
    private void loadProgress() {
        ProgressReader reader = new ProgressReader();
        reader.watcher =
                new PrefixWatcher(
                        CellKeys.progress(context.cell),
                        0,
                        context.store,
                        context.runtime,
                        context.log,
                        reader);
        reader.watcher.start();
    }

    /** Reads the roster, which lists the workers that previous owners used. */
    private void loadRoster() {
        context.store.read(CellKeys.roster(context.cell), this::onRoster);
    }

    /**
     * Completes the loading with the roster, and starts the regular work of the owner.
     *
     * @param result the reading of the roster
     */
    private void onRoster(StoreResult<StoreReading> result) {
        if (context.over) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            context.schedule(RETRY_MILLIS, this::loadRoster);
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        RosterRecord roster =
                item == null ? null : StoredValueCodec.read(item.value(), RosterRecord.class);
        if (roster != null) {
            context.unsettled.addAll(roster.workers());
        }
        loaded = true;
        context.log.log(
                "owner.loaded",
                "cell",
                context.cell,
                "jobs",
                context.jobs.size(),
                "roster",
                context.unsettled.size(),
                "millis",
                context.now() - context.term.beganMillis());
        settle();
        workerWatcher.start();
        ownership.start();
        tick();
        publish();
    }

    /**
     * Does the periodic work: ends expired runs, handles draining workers, removes workers that are
     * gone, and schedules a pass.
     */
    private void tick() {
        long now = context.now();
        boolean changed = false;
        for (WorkerRecord worker : new ArrayList<>(context.allWorkers())) {
            poller.expire(worker);
            drainController.judge(worker);
            boolean gone =
                    !worker.listed && worker.runs.isEmpty() && now >= worker.leaseOverAtMillis;
            if (gone) {
                context.workers.remove(worker.id);
                context.unsettled.remove(worker.id);
                context.log.log("worker.gone", "worker", worker.id);
                changed = true;
            }
        }
        if (changed) {
            commits.changeRoster();
        }
        settle();
        planPass();
        context.schedule(context.settings.passIntervalMillis() * 2, this::tick);
    }

    /**
     * Checks whether previous owners can no longer start anything. Once that is so, submissions
     * from before this term may be scheduled and the run ends of previous owners acknowledged.
     */
    private void settle() {
        if (context.settled || !loaded) {
            return;
        }
        boolean over = context.now() >= context.leases.formerLeasesOver(context.term.beganMillis());
        if (over || context.unsettled.isEmpty()) {
            context.settled = true;
            context.log.log(
                    "owner.settled",
                    "cell",
                    context.cell,
                    "byTime",
                    !context.unsettled.isEmpty(),
                    "millis",
                    context.now() - context.term.beganMillis());
            context.unsettled.clear();
            commits.acknowledge();
            planPass();
        }
    }

    /**
     * Schedules a pass over the waiting tasks unless one is scheduled or the cell is not loaded
     * yet.
     */
    private void planPass() {
        if (!passPlanned && loaded && !context.over) {
            passPlanned = true;
            context.schedule(
                    1,
                    () -> {
                        passPlanned = false;
                        taskScheduler.run();
                    });
        }
    }

    /**
     * Publishes the pending counts of the cell if they have changed, and schedules the next check.
     */
    private void publish() {
        Map<String, Integer> counts = jobTracker.pending();
        if (!counts.equals(published)) {
            published = counts;
            StoreTransaction commit = new StoreTransaction();
            commit.expectRevision(CellKeys.owner(context.cell), context.term.headRevision());
            commit.put(
                    CellKeys.pending(context.cell),
                    StoredValueCodec.write(new PendingRecord(counts)));
            context.store.commit(
                    commit,
                    result -> {
                        if (result.status() != StoreStatus.OK) {
                            published = Map.of("", -1);
                        }
                    });
        }
        context.schedule(PUBLISH_MILLIS, this::publish);
    }

    /** Applies the effects of commits. */
    private final class Commits implements CommitQueue.Listener {

        @Override
        public void onTaken(Job job) {
            jobTracker.cancel(job);
        }

        @Override
        public void onStored(Job job) {
            jobTracker.close(job);
        }

        @Override
        public void onAcknowledgeable(WorkerRecord worker) {
            poller.look(worker);
        }
    }

    /** Applies the results of polls. */
    private final class Looks implements WorkerPoller.Listener {

        @Override
        public void onLook(WorkerRecord worker, boolean first) {
            if (first) {
                context.unsettled.remove(worker.id);
                settle();
                ownership.renew();
            }
            fillerThrottle.evaluate(worker);
            stragglerMitigator.judge(worker);
            planPass();
        }

        @Override
        public void onMissedLook(WorkerRecord worker, WorkerReply reply) {
            if (reply.status() == WorkerStatus.FENCED) {
                fenced();
            }
            worker.avoidUntilMillis =
                    Math.max(worker.avoidUntilMillis, context.now() + MISSED_LOOK_MILLIS);
        }
    }

    /** Applies new and cancelled submissions. */
    private final class Submissions implements SubmissionWatcher.Listener {

        @Override
        public void onSnapshot() {
            if (!loaded) {
                loadProgress();
            }
        }

        @Override
        public void onSubmission(Job job) {
            context.jobs.put(job.id(), job);
            context.log.log(
                    "job.taken",
                    "id",
                    job.id(),
                    "cell",
                    context.cell,
                    "revision",
                    job.createdRevision);
            if (loaded) {
                ownership.renew();
            }
        }

        @Override
        public void onRemoved(Job job) {
            jobTracker.cancel(job);
            planPass();
        }
    }

    /** Applies new and changed workers. */
    private final class Workers implements WorkerEntryWatcher.Listener {

        @Override
        public void onSnapshot() {
            context.log.log("workers.read", "cell", context.cell, "count", context.workers.size());
        }

        @Override
        public void onNew(WorkerRecord worker) {
            commits.changeRoster();
            poller.look(worker);
        }

        @Override
        public void onUpdate(WorkerRecord worker, WorkerEntry before) {
            long born = worker.entry.bootUnixMillis();
            if (born != 0 && worker.bornUnixMillis != 0 && born > worker.bornUnixMillis) {
                poller.restarted(worker, born);
            }
            poller.look(worker);
        }
    }

    /** Restores the jobs from a single reading of the stored progress. */
    private final class ProgressReader implements PrefixWatcher.Listener {

        /**
         * Reads the progress records; closed after the first snapshot. Null only before it is set.
         */
        private @Nullable PrefixWatcher watcher;

        @Override
        public void onSnapshot(List<StoreItem> items, long highestRevision) {
            if (watcher != null) {
                watcher.close();
            }
            String prefix = CellKeys.progress(context.cell);
            for (StoreItem item : items) {
                Job job = context.jobs.get(item.key().substring(prefix.length()));
                ProgressRecord progress = StoredValueCodec.read(item.value(), ProgressRecord.class);
                if (job != null && progress != null) {
                    progress.restore(job);
                    job.progressStored = true;
                }
            }
            loadRoster();
        }

        @Override
        public void onChange(StoreEvent event) {
            context.log.log("progress.ignored", "key", event.key());
        }
    }
}
