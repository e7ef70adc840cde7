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
    private final CellCore core;

    /** Verifies that this process still owns the cell. */
    private final OwnershipProof proof;

    /** Commits changes of jobs and of the roster. */
    private final CommitLoop commits;

    /** Applies run ends to jobs. */
    private final JobBook book;

    /** Polls the workers. */
    private final WorkerLooks looks;

    /** Throttles fillers. */
    private final FillerControl fillers;

    /** Moves runs that progress too slowly. */
    private final StragglerControl stragglers;

    /** Moves work off draining workers. */
    private final DrainControl drains;

    /** Starts waiting tasks. */
    private final StartPass pass;

    /** Watches the open submissions. */
    private final Inbox inbox;

    /** Watches the worker entries. */
    private final WorkerList workerList;

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
        core = new CellCore(environment, cell, term, reason -> ended(reason, ended));
        RunTimes runTimes = new RunTimes();
        proof = new OwnershipProof(core, this::planPass);
        RunOrders orders = new RunOrders(core, this::planPass, this::fenced);
        commits = new CommitLoop(core, new Commits());
        book = new JobBook(core, commits, orders, runTimes);
        looks = new WorkerLooks(core, book, orders, new Looks());
        fillers = new FillerControl(core, orders, new PairEffects());
        AdviceDesk advice = new AdviceDesk(core, environment.advice(), this::planPass);
        Placement placement = new Placement(core, fillers, advice);
        stragglers = new StragglerControl(core, placement, orders, runTimes);
        drains = new DrainControl(core, orders, runTimes);
        pass = new StartPass(core, placement, orders, runTimes, advice, proof);
        inbox = new Inbox(core, new Submissions());
        workerList = new WorkerList(core, environment.formats(), member, new Workers());
    }

    /** Starts to load the cell; tasks are scheduled once all records have been read. */
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
     * Replaces the manifest in effect.
     *
     * @param manifest the new manifest
     */
    public void manifest(Manifest manifest) {
        core.manifest = manifest;
    }

    /**
     * Ends the term; has no effect if it has already ended.
     *
     * @param reason why the term ends, for the log
     */
    public void stop(String reason) {
        core.end(reason);
    }

    /**
     * Returns the state of an open submission.
     *
     * @param id the identifier of the submission
     * @return the state, or null if the submission is not open in this cell or the term has ended
     */
    public @Nullable SubmissionState state(String id) {
        Job job = core.jobs.get(id);
        return job == null || core.over ? null : job.state;
    }

    /**
     * Stops the watches when the term has ended.
     *
     * @param reason why the term ended
     * @param listener called with the reason
     */
    private void ended(String reason, Consumer<String> listener) {
        inbox.close();
        workerList.close();
        listener.accept(reason);
    }

    /**
     * Ends the term after a worker has seen a higher fencing token, which only a successor can
     * have.
     */
    private void fenced() {
        core.end("a worker has seen a higher fencing token");
    }

    /** Reads the stored progress, then the roster, then the worker entries. */
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

    /** Reads the roster, which lists the workers that previous owners used. */
    private void loadRoster() {
        core.store.read(CellKeys.roster(core.cell), this::onRoster);
    }

    /**
     * Completes the loading with the roster, and starts the regular work of the owner.
     *
     * @param result the reading of the roster
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

    /**
     * Does the periodic work: ends expired runs, handles draining workers, removes workers that are
     * gone, and schedules a pass.
     */
    private void tick() {
        long now = core.now();
        boolean changed = false;
        for (WorkerRecord worker : new ArrayList<>(core.allWorkers())) {
            looks.expire(worker);
            drains.judge(worker);
            boolean gone =
                    !worker.listed && worker.runs.isEmpty() && now >= worker.leaseOverAtMillis;
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

    /**
     * Checks whether previous owners can no longer start anything. Once that is so, submissions
     * from before this term may be scheduled and the run ends of previous owners acknowledged.
     */
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

    /**
     * Schedules a pass over the waiting tasks unless one is scheduled or the cell is not loaded
     * yet.
     */
    private void planPass() {
        if (!passPlanned && loaded && !core.over) {
            passPlanned = true;
            core.schedule(
                    1,
                    () -> {
                        passPlanned = false;
                        pass.run();
                    });
        }
    }

    /**
     * Publishes the pending counts of the cell if they have changed, and schedules the next check.
     */
    private void publish() {
        Map<String, Integer> counts = book.pending();
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

    /** Applies the effects of commits. */
    private final class Commits implements CommitLoop.Listener {

        @Override
        public void onTaken(Job job) {
            book.cancel(job);
        }

        @Override
        public void onStored(Job job) {
            book.close(job);
        }

        @Override
        public void onAcknowledgeable(WorkerRecord worker) {
            looks.look(worker);
        }
    }

    /** Applies the results of polls. */
    private final class Looks implements WorkerLooks.Listener {

        @Override
        public void onLook(WorkerRecord worker, boolean first) {
            if (first) {
                core.unsettled.remove(worker.id);
                settle();
                proof.renew();
            }
            fillers.judge(worker);
            stragglers.judge(worker);
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

    /** Applies new and cancelled submissions. */
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
            book.cancel(job);
            planPass();
        }
    }

    /** Applies new and changed workers. */
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
            if (born != 0 && worker.bornUnixMillis != 0 && born > worker.bornUnixMillis) {
                looks.restarted(worker, born);
            }
            looks.look(worker);
        }
    }

    /** Restores the jobs from a single reading of the stored progress. */
    private final class ProgressReader implements PrefixWatch.Listener {

        /**
         * Reads the progress records; closed after the first snapshot. Null only before it is set.
         */
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
