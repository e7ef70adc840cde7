package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.Commit;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.WorkerReply;
import org.damasktiller.scheduler.port.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Owns a cell for one term: reads its submissions, progress and workers, fences the workers, and
 * runs the cell until the term ends. All calls come on one thread.
 */
public final class CellOwner {

    /** The pause before a read that failed is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The pause between two publications of the counts, in milliseconds. */
    private static final long PUBLISH_MILLIS = 500;

    /** For how long a missed look makes a worker one to avoid, in milliseconds. */
    private static final long MISSED_LOOK_MILLIS = 400;

    /** The shared part. */
    private final CellCore core;

    /** Proves the ownership. */
    private final OwnershipProof proof;

    /** Stores changes. */
    private final CommitLoop commits;

    /** Applies ends. */
    private final JobTracker jobTracker;

    /** Looks at workers. */
    private final WorkerLooks looks;

    /** Paces fillers. */
    private final FillerThrottle fillerThrottle;

    /** Moves runs that get on too slowly. */
    private final StragglerMitigator stragglerMitigator;

    /** Moves work off workers that leave. */
    private final DrainControl drains;

    /** Starts what waits. */
    private final TaskScheduler taskScheduler;

    /** Follows submissions. */
    private final Inbox inbox;

    /** Follows workers. */
    private final WorkerList workerList;

    /** Whether the submissions and the progress have been read. */
    private boolean loaded;

    /** Whether a pass is planned. */
    private boolean passPlanned;

    /** The counts published last. */
    private Map<String, Integer> published = Map.of();

    /**
     * Creates an owner that has not begun.
     *
     * @param environment the ports and settings
     * @param cell the name of the cell
     * @param term the term
     * @param member tells which workers belong to the cell
     * @param ended told why the term ended
     */
    public CellOwner(
            CellEnvironment environment,
            String cell,
            CellTerm term,
            Predicate<WorkerEntry> member,
            Consumer<String> ended) {
        core = new CellCore(environment, cell, term, reason -> ended(reason, ended));
        RunTimeEstimator runTimes = new RunTimeEstimator();
        proof = new OwnershipProof(core, this::planPass);
        RunRequestSender requestSender = new RunRequestSender(core, this::planPass, this::fenced);
        commits = new CommitLoop(core, new Commits());
        jobTracker = new JobTracker(core, commits, requestSender, runTimes);
        looks = new WorkerLooks(core, jobTracker, requestSender, new Looks());
        fillerThrottle = new FillerThrottle(core, requestSender, new InterferenceModel());
        AdviceDesk advice = new AdviceDesk(core, environment.advice(), this::planPass);
        WorkerSelector workerSelector = new WorkerSelector(core, fillerThrottle, advice);
        stragglerMitigator = new StragglerMitigator(core, workerSelector, requestSender, runTimes);
        drains = new DrainControl(core, requestSender, runTimes);
        taskScheduler =
                new TaskScheduler(core, workerSelector, requestSender, runTimes, advice, proof);
        inbox = new Inbox(core, new Submissions());
        workerList = new WorkerList(core, environment.formats(), member, new Workers());
    }

    /** Begins the term's work. */
    public void start() {
        core.log.log(
                "owner.began",
                "cell",
                core.cell,
                "generation",
                core.term.generation(),
                "headRevision",
                core.term.headRevision());
        inbox.start();
    }

    /**
     * Puts a manifest in force.
     *
     * @param manifest the manifest
     */
    public void manifest(Manifest manifest) {
        core.manifest = manifest;
    }

    /**
     * Ends the term.
     *
     * @param reason why
     */
    public void stop(String reason) {
        core.end(reason);
    }

    /**
     * Finds the state of an open submission.
     *
     * @param id its identifier
     * @return its state, or null if the owner does not know it
     */
    public @Nullable SubmissionState state(String id) {
        Job job = core.jobs.get(id);
        return job == null || core.over ? null : job.state;
    }

    /**
     * Ends what follows the store.
     *
     * @param reason why the term ended
     * @param listener told of the reason
     */
    private void ended(String reason, Consumer<String> listener) {
        inbox.close();
        workerList.close();
        listener.accept(reason);
    }

    /** Ends the term: only a successor's fencing token can be higher than this owner's. */
    private void fenced() {
        core.end("a worker has seen a newer generation");
    }

    /** Reads the stored progress, then the roster, then the workers. */
    private void loadProgress() {
        ProgressReader reader = new ProgressReader();
        reader.watch =
                new PrefixWatch(
                        CellKeys.progress(core.cell),
                        0,
                        core.store,
                        core.runtime,
                        core.log,
                        reader);
        reader.watch.start();
    }

    /** Reads the workers that former owners used. */
    private void loadRoster() {
        core.store.read(CellKeys.roster(core.cell), this::onRoster);
    }

    /**
     * Takes the roster.
     *
     * @param result the reading
     */
    private void onRoster(StoreResult<StoreReading> result) {
        if (core.over) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            core.schedule(RETRY_MILLIS, this::loadRoster);
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        RosterRecord roster =
                item == null ? null : StoredValues.read(item.value(), RosterRecord.class);
        if (roster != null) {
            core.unsettled.addAll(roster.workers());
        }
        loaded = true;
        core.log.log(
                "owner.loaded",
                "cell",
                core.cell,
                "jobs",
                core.jobs.size(),
                "roster",
                core.unsettled.size(),
                "millis",
                core.now() - core.term.beganMillis());
        settle();
        workerList.start();
        proof.start();
        tick();
        publish();
    }

    /** Does what is due at regular times. */
    private void tick() {
        long now = core.now();
        boolean changed = false;
        for (WorkerRecord worker : new ArrayList<>(core.allWorkers())) {
            looks.expire(worker);
            drains.judge(worker);
            boolean gone =
                    !worker.listed && worker.runs.isEmpty() && now >= worker.leasesExpireAtMillis;
            if (gone) {
                core.workers.remove(worker.id);
                core.unsettled.remove(worker.id);
                core.log.log("worker.gone", "worker", worker.id);
                changed = true;
            }
        }
        if (changed) {
            commits.changeRoster();
        }
        settle();
        planPass();
        core.schedule(core.settings.passIntervalMillis() * 2, this::tick);
    }

    /** Finds out whether every worker of former owners is settled. */
    private void settle() {
        if (core.settled || !loaded) {
            return;
        }
        boolean over = core.now() >= core.leases.formerLeasesOver(core.term.beganMillis());
        if (over || core.unsettled.isEmpty()) {
            core.settled = true;
            core.log.log(
                    "owner.settled",
                    "cell",
                    core.cell,
                    "byTime",
                    !core.unsettled.isEmpty(),
                    "millis",
                    core.now() - core.term.beganMillis());
            core.unsettled.clear();
            commits.acknowledge();
            planPass();
        }
    }

    /** Plans a pass over what waits. */
    private void planPass() {
        if (!passPlanned && loaded && !core.over) {
            passPlanned = true;
            core.schedule(
                    1,
                    () -> {
                        passPlanned = false;
                        taskScheduler.runPass();
                    });
        }
    }

    /** Publishes how many submissions wait, if that has changed. */
    private void publish() {
        Map<String, Integer> counts = jobTracker.countQueuedByRoute();
        if (!counts.equals(published)) {
            published = counts;
            Commit commit = new Commit();
            commit.expect(CellKeys.owner(core.cell), core.term.headRevision());
            commit.put(CellKeys.pending(core.cell), StoredValues.write(new PendingRecord(counts)));
            core.store.commit(
                    commit,
                    result -> {
                        if (result.status() != StoreStatus.OK) {
                            published = Map.of("", -1);
                        }
                    });
        }
        core.schedule(PUBLISH_MILLIS, this::publish);
    }

    /** Takes the effects of commits. */
    private final class Commits implements CommitLoop.Listener {

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
            looks.look(worker);
        }
    }

    /** Takes the results of looks. */
    private final class Looks implements WorkerLooks.Listener {

        @Override
        public void onLook(WorkerRecord worker, boolean first) {
            if (first) {
                core.unsettled.remove(worker.id);
                settle();
                proof.renew();
            }
            fillerThrottle.evaluate(worker);
            stragglerMitigator.evaluate(worker);
            planPass();
        }

        @Override
        public void onMissedLook(WorkerRecord worker, WorkerReply reply) {
            if (reply.status() == WorkerStatus.FENCED) {
                fenced();
            }
            worker.avoidUntilMillis =
                    Math.max(worker.avoidUntilMillis, core.now() + MISSED_LOOK_MILLIS);
        }
    }

    /** Takes changes of the inbox. */
    private final class Submissions implements Inbox.Listener {

        @Override
        public void onSnapshot() {
            if (!loaded) {
                loadProgress();
            }
        }

        @Override
        public void onSubmission(Job job) {
            core.jobs.put(job.id(), job);
            core.log.log(
                    "job.taken",
                    "id",
                    job.id(),
                    "cell",
                    core.cell,
                    "revision",
                    job.createdRevision);
            if (loaded) {
                proof.renew();
            }
        }

        @Override
        public void onRemoved(Job job) {
            jobTracker.cancel(job);
            planPass();
        }
    }

    /** Takes changes of the workers. */
    private final class Workers implements WorkerList.Listener {

        @Override
        public void onSnapshot() {
            core.log.log("workers.read", "cell", core.cell, "count", core.workers.size());
        }

        @Override
        public void onNew(WorkerRecord worker) {
            commits.changeRoster();
            looks.look(worker);
        }

        @Override
        public void onUpdate(WorkerRecord worker, WorkerEntry before) {
            long born = worker.entry.bornUnixMillis();
            if (born != 0 && worker.bootUnixMillis != 0 && born > worker.bootUnixMillis) {
                looks.restarted(worker, born);
            }
            looks.look(worker);
        }
    }

    /** Reads the stored progress once. */
    private final class ProgressReader implements PrefixWatch.Listener {

        /** The watch, closed after the first reading. */
        private @Nullable PrefixWatch watch;

        @Override
        public void onSnapshot(List<StoreItem> items, long highestRevision) {
            if (watch != null) {
                watch.close();
            }
            String prefix = CellKeys.progress(core.cell);
            for (StoreItem item : items) {
                Job job = core.jobs.get(item.key().substring(prefix.length()));
                ProgressRecord progress = StoredValues.read(item.value(), ProgressRecord.class);
                if (job != null && progress != null) {
                    progress.restore(job);
                    job.progressStored = true;
                }
            }
            loadRoster();
        }

        @Override
        public void onChange(StoreEvent event) {
            core.log.log("progress.ignored", "key", event.key());
        }
    }
}
