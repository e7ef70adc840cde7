package org.damasktiller.scheduler.cell;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.damasktiller.scheduler.estimate.DeclaredRunTimes;
import org.damasktiller.scheduler.estimate.LearnedRunTimes;
import org.damasktiller.scheduler.estimate.RunTimeEstimator;
import org.damasktiller.scheduler.interference.InterferenceModel;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.policy.Policy;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
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
    private static final long READ_RETRY_MILLIS = 100;

    /** The time between two checks of the whole roster, in milliseconds. */
    private static final long ROSTER_CHECK_INTERVAL_MILLIS = 200;

    /** How long an owner that ends its term waits for the store at most, in milliseconds. */
    private static final long HAND_OVER_TIMEOUT_MILLIS = 300;

    /** How long a worker gets no new tasks after a failed poll, in milliseconds. */
    private static final long FAILED_POLL_AVOID_MILLIS = 400;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Verifies that this process still owns the cell. */
    private final OwnershipVerifier ownership;

    /** Commits changes of jobs and of the roster. */
    private final CommitQueue commits;

    /** Removes the progress of submissions that others have ended. */
    private final ProgressRemover progressRemover;

    /** Applies run ends to jobs. */
    private final JobTracker jobTracker;

    /** Polls the workers. */
    private final WorkerPoller poller;

    /** Hands what was learnt about fillers from owner to owner. */
    private final InterferenceKeeper interferenceKeeper;

    /** Throttles fillers. */
    private final FillerThrottle fillerThrottle;

    /** Moves runs that progress too slowly. */
    private final StragglerMitigator stragglerMitigator;

    /** Ends what is over on the workers. */
    private final WorkerSupervisor workerSupervisor;

    /** Starts waiting tasks. */
    private final TaskScheduler taskScheduler;

    /** Moves tasks that wait in vain to other cells. */
    private final TaskMover taskMover;

    /** Moves submissions of which nothing runs to other cells. */
    private final SubmissionMover submissionMover;

    /** Publishes the pending counts, the largest workers and the free room. */
    private final CountPublisher counts;

    /** Watches the open submissions. */
    private final SubmissionWatcher submissionWatcher;

    /** Watches the worker entries. */
    private final WorkerEntryWatcher workerWatcher;

    /** Explains where tasks would start. */
    private final PlacementExplainer placementExplainer;

    /** Logs why tasks wait for long. */
    private final WaitingReporter waitingReporter;

    /** Watches the evacuated zones. */
    private final EvacuationWatcher evacuationWatcher;

    /** Spaces the passes over the waiting tasks. */
    private final PassSchedule passSchedule;

    /** Whether the submissions, the progress and the roster have been read. */
    private boolean loaded;

    /** When the whole roster is checked again, in milliseconds. */
    private long rosterCheckDueMillis;

    /**
     * Creates an owner that has not started.
     *
     * @param environment the ports, the settings and the current manifest
     * @param cell the name of the cell
     * @param term the term for which this process owns the cell
     * @param belongsToCell decides which workers belong to the cell
     * @param onEnd called once with the reason when the term ends
     */
    public CellOwner(
            CellEnvironment environment,
            String cell,
            CellTerm term,
            Predicate<WorkerEntry> belongsToCell,
            Consumer<String> onEnd) {
        context = new CellContext(environment, cell, term, reason -> onTermEnded(reason, onEnd));
        RunTimeEstimator runTimes = createRunTimes(context);
        ownership = new OwnershipVerifier(context, this::schedulePass);
        RunRequestSender requestSender =
                new RunRequestSender(context, this::schedulePass, this::onFenced);
        commits = new CommitQueue(context, new CommitEffects());
        progressRemover = new ProgressRemover(context, commits);
        jobTracker = new JobTracker(context, commits, progressRemover, requestSender, runTimes);
        poller = new WorkerPoller(context, jobTracker, requestSender, new PollListener());
        InterferenceModel interference = new InterferenceModel();
        interferenceKeeper = new InterferenceKeeper(context, interference);
        fillerThrottle = new FillerThrottle(context, requestSender, interference);
        AdviceTicketProvider advice =
                new AdviceTicketProvider(context, environment.adviceClient(), this::schedulePass);
        LookAheadPlacement lookAhead = new LookAheadPlacement(context, runTimes);
        WorkerSelector workerSelector =
                new WorkerSelector(context, fillerThrottle, advice, lookAhead);
        placementExplainer = new PlacementExplainer(context, workerSelector);
        waitingReporter =
                new WaitingReporter(context, workerSelector, ownership, jobTracker.crashTracker());
        stragglerMitigator =
                new StragglerMitigator(context, workerSelector, requestSender, runTimes);
        DrainController drainController = new DrainController(context, requestSender, runTimes);
        workerSupervisor =
                new WorkerSupervisor(context, poller, drainController, jobTracker.crashTracker());
        taskScheduler =
                new TaskScheduler(
                        context,
                        workerSelector,
                        requestSender,
                        advice,
                        jobTracker.crashTracker(),
                        lookAhead,
                        new WaitingStepCollector(context, runTimes, ownership, workerSelector));
        passSchedule = new PassSchedule(context, taskScheduler::runPass);
        taskMover = new TaskMover(context, commits, ownership);
        submissionMover = new SubmissionMover(context, commits, ownership, jobTracker::cancel);
        counts = new CountPublisher(context, jobTracker, new FreeRooms(context, workerSelector));
        submissionWatcher =
                new SubmissionWatcher(context, progressRemover, new SubmissionListener());
        workerWatcher =
                new WorkerEntryWatcher(
                        context, environment.formats(), belongsToCell, new WorkerListener());
        evacuationWatcher =
                new EvacuationWatcher(
                        context, environment.formats().evacuationKeyPrefix(), this::schedulePass);
        context.zoneGuard = evacuationWatcher.guard();
    }

    /**
     * Creates the estimator of run times.
     *
     * @param context the shared state of the cell's owner
     * @return an estimator that learns, unless that policy is off, and counts
     */
    private static RunTimeEstimator createRunTimes(CellContext context) {
        boolean learns = context.settings.policies().isEnabled(Policy.LEARNED_RUN_TIMES);
        return new CountedRunTimes(
                learns ? new LearnedRunTimes() : new DeclaredRunTimes(), context.workCounters);
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
        context.workerEntriesReadAtMillis = workerWatcher::answeredAtMillis;
        submissionWatcher.start();
        if (context.settings.policies().isEnabled(Policy.INTERFERENCE_HANDOVER)) {
            interferenceKeeper.start();
        }
        evacuationWatcher.start();
    }

    /**
     * Replaces the manifest in effect.
     *
     * @param manifest the new manifest
     */
    public void updateManifest(Manifest manifest) {
        context.updateManifest(manifest);
    }

    /**
     * Ends the term; has no effect if it has already ended.
     *
     * @param reason why the term ends, for the log
     */
    public void stop(String reason) {
        context.endTerm(reason);
    }

    /**
     * Ends the term in order: stores what a successor has to wait for, then ends. If the store does
     * not answer in time, the term ends without that.
     *
     * @param reason why the term ends, for the log
     * @param onEnded called when the term has ended
     */
    public void handOver(String reason, Runnable onEnded) {
        Runnable end =
                () -> {
                    if (!context.ended) {
                        context.endTerm(reason);
                        onEnded.run();
                    }
                };
        if (loaded && !context.ended) {
            commits.handOver(end);
            context.schedule(HAND_OVER_TIMEOUT_MILLIS, end);
        } else {
            end.run();
        }
    }

    /**
     * Tells whether no previous owner can start anything any more.
     *
     * @return whether the cell is loaded and previous owners are excluded
     */
    public boolean isSettled() {
        return loaded && context.previousOwners.areFenced();
    }

    /**
     * Returns the state of an open submission.
     *
     * @param id the identifier of the submission
     * @return the state, or null if the submission is not open in this cell or the term has ended
     */
    public @Nullable SubmissionState submissionState(String id) {
        return context.ended ? null : context.submissionState(id);
    }

    /**
     * Explains where the first task of a step would start if it arrived now. Starts nothing.
     *
     * @param route the route of the submission
     * @param spec the step
     * @return the explanation, some lines; empty if the cell is not loaded or the term has ended
     */
    public List<String> explainPlacement(Route route, StepSpec spec) {
        return loaded && !context.ended ? placementExplainer.explain(route, spec) : List.of();
    }

    /**
     * Stops the watchers when the term has ended and passes the reason on.
     *
     * @param reason why the term ended
     * @param listener called with the reason
     */
    private void onTermEnded(String reason, Consumer<String> listener) {
        submissionWatcher.close();
        workerWatcher.close();
        evacuationWatcher.close();
        listener.accept(reason);
    }

    /**
     * Ends the term after a worker has seen a higher fencing token, which only a successor can
     * have.
     */
    private void onFenced() {
        context.endTerm("a worker has seen a higher fencing token");
    }

    /** Reads the stored progress, then the roster, then the worker entries. */
    private void loadProgress() {
        ProgressReader.ofCell(context, progressRemover, commits::remove, this::loadRoster).start();
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
        if (context.ended) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            context.schedule(READ_RETRY_MILLIS, this::loadRoster);
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        context.roster.load(item);
        loaded = true;
        context.log.log(
                "owner.loaded",
                "cell",
                context.cell,
                "jobs",
                context.jobs.size(),
                "roster",
                context.previousOwners.unfencedWorkerIds().size(),
                "millis",
                context.now() - context.term.startedAtMillis());
        checkPreviousOwners();
        workerWatcher.start();
        ownership.start();
        context.repeat(context.settings.halfTickMillis() * 2, "tick", this::tick);
        counts.start();
        waitingReporter.start();
        new TaskRecordKeeper(context).start();
    }

    /** Does the work that is due at each interval, and schedules a pass. */
    private void tick() {
        long now = context.now();
        if (workerSupervisor.update()) {
            ownership.verifySoon();
        }
        checkPreviousOwners();
        if (now >= rosterCheckDueMillis) {
            rosterCheckDueMillis = now + ROSTER_CHECK_INTERVAL_MILLIS;
            if (context.roster.isOutdated()) {
                commits.enqueueRoster();
            }
        }
        submissionWatcher.loadNext();
        taskMover.update();
        submissionMover.update();
        schedulePass();
    }

    /**
     * Checks whether previous owners can no longer start anything. From then on submissions from
     * before this term may be scheduled and run ends of previous owners acknowledged.
     */
    private void checkPreviousOwners() {
        if (context.previousOwners.update()) {
            commits.advanceAcknowledgements();
            schedulePass();
        }
    }

    /** Schedules a pass over the waiting tasks unless the cell is not loaded yet. */
    private void schedulePass() {
        if (loaded) {
            passSchedule.request();
        }
    }

    /** Applies the effects of commits. */
    private final class CommitEffects implements CommitListener {

        @Override
        public void onCancelled(Job job) {
            jobTracker.cancel(job);
        }

        @Override
        public void onStored(Job job) {
            jobTracker.close(job);
        }

        @Override
        public void onEndsStored(WorkerRecord worker) {
            poller.poll(worker);
        }
    }

    /** Applies the results of polls. */
    private final class PollListener implements WorkerPoller.Listener {

        @Override
        public void onPollAnswered(WorkerRecord worker, boolean first) {
            if (first) {
                counts.addWorker(worker);
                if (context.previousOwners.excludeAnswered(worker)) {
                    jobTracker.crashTracker().onUncountedCrash();
                }
                checkPreviousOwners();
                ownership.verify();
            }
            context.roster.apply(worker);
            boolean mayReopen = !worker.rosterAllowsStarts && !worker.entry.draining();
            if (mayReopen && context.roster.isOutdated(worker)) {
                commits.enqueueRoster();
            }
            jobTracker.crashTracker().onAnswered(worker);
            fillerThrottle.evaluate(worker);
            stragglerMitigator.evaluate(worker);
            schedulePass();
        }

        @Override
        public void onPollFailed(WorkerRecord worker, WorkerReply reply) {
            if (reply.status() == WorkerStatus.FENCED) {
                onFenced();
            }
            worker.avoidUntilMillis =
                    Math.max(worker.avoidUntilMillis, context.now() + FAILED_POLL_AVOID_MILLIS);
            if (!worker.isAnswering(context.now())) {
                jobTracker.crashTracker().onContactLost(worker);
            }
        }
    }

    /** Applies new and cancelled submissions. */
    private final class SubmissionListener implements SubmissionWatcher.Listener {

        @Override
        public void onSnapshot() {
            if (!loaded) {
                loadProgress();
            }
        }

        @Override
        public void onSubmission(Job job) {
            context.addJob(job);
            context.log.log(
                    "job.taken",
                    "id",
                    job.id(),
                    "cell",
                    context.cell,
                    "revision",
                    job.createdRevision);
            if (loaded) {
                ownership.verify();
            }
        }

        @Override
        public void onPartChanged() {
            ownership.verify();
        }

        @Override
        public void onCancelled(Job job) {
            jobTracker.cancel(job);
            schedulePass();
        }
    }

    /** Applies new and changed workers. */
    private final class WorkerListener implements WorkerEntryWatcher.Listener {

        @Override
        public void onSnapshot() {
            counts.onWorkersRead();
            context.log.log("workers.read", "cell", context.cell, "count", context.workers.size());
        }

        @Override
        public void onAdded(WorkerRecord worker) {
            context.roster.apply(worker);
            poller.poll(worker);
        }

        @Override
        public void onUpdated(WorkerRecord worker, WorkerEntry previousEntry) {
            counts.addWorker(worker);
            context.roster.apply(worker);
            if (worker.bootUnixMillis != 0
                    && worker.entry.bootUnixMillis() > worker.bootUnixMillis) {
                poller.awaitNewAnswer(worker);
            }
            poller.poll(worker);
        }
    }
}
