package org.damasktiller.scheduler.cell;

import java.util.ArrayDeque;
import java.util.Deque;
import org.damasktiller.scheduler.crash.CommonCause;
import org.damasktiller.scheduler.crash.CrashAttribution;
import org.damasktiller.scheduler.crash.CrashHistory;
import org.damasktiller.scheduler.crash.CrashObservation;

/**
 * Detects crashes that probably have a cause that concerns several workers.
 *
 * <p>Load pattern: workers crash at about the same time, for example all of a rack, while tasks
 * start on some of them.
 */
final class CommonCauseDetector {

    /**
     * The longest time between the losses of contact to workers that crashed at about the same
     * time, in milliseconds, if their connections broke. If they fell silent, the time that a poll
     * waits is added.
     */
    private static final long WAVE_MILLIS = 600;

    /** How long a lost worker is remembered, in milliseconds. */
    private static final long LOSS_MEMORY_MILLIS = 60_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** When contact to workers was lost that are gone and on which no run explains that. */
    private final Deque<Long> unexplainedLosses = new ArrayDeque<>();

    /**
     * Creates a detector.
     *
     * @param context the shared state of the cell's owner
     */
    CommonCauseDetector(CellContext context) {
        this.context = context;
    }

    /**
     * Records that a worker is removed, since it is not listed and runs nothing.
     *
     * @param worker the worker
     */
    void onGone(WorkerRecord worker) {
        long oldest = context.now() - LOSS_MEMORY_MILLIS;
        while (!unexplainedLosses.isEmpty() && unexplainedLosses.peekFirst() < oldest) {
            unexplainedLosses.removeFirst();
        }
        if (!worker.wasDraining() && worker.isLost() && candidatesOf(worker) == 0) {
            unexplainedLosses.addLast(worker.contactLostAtMillis);
        }
    }

    /**
     * Returns what is known of a cause of the crash of a worker that concerns several workers:
     * whether others lost contact at about the same time, and they are many or no run explains it.
     *
     * @param worker the worker
     * @return what is known
     */
    CommonCause commonCauseOf(WorkerRecord worker) {
        long nearMillis = context.settings.pollWaitMillis() + WAVE_MILLIS;
        int crashed = 0;
        boolean unexplained =
                unexplainedLosses.stream()
                        .anyMatch(at -> Math.abs(at - worker.contactLostAtMillis) <= nearMillis);
        for (WorkerRecord other : context.allWorkers()) {
            if (other.contactLostAtMillis == WorkerRecord.NEVER || other.wasDraining()) {
                continue;
            }
            long distance = Math.abs(other.contactLostAtMillis - worker.contactLostAtMillis);
            crashed += distance <= WAVE_MILLIS ? 1 : 0;
            unexplained |=
                    other != worker
                            && distance <= nearMillis
                            && other.isLost()
                            && candidatesOf(other) == 0;
        }
        if (unexplained) {
            return CommonCause.SHOWN;
        }
        return CrashAttribution.isWave(crashed, context.workers.size())
                ? CommonCause.LIKELY
                : CommonCause.NONE;
    }

    /**
     * Counts the runs that may be the cause of the crash of a worker.
     *
     * @param worker the worker
     * @return the number of candidates, as of the evaluation of the crash if there was one
     */
    private static long candidatesOf(WorkerRecord worker) {
        return worker.crashCandidates >= 0
                ? worker.crashCandidates
                : CrashAttribution.countCandidates(
                        worker.runs.values().stream().map(CommonCauseDetector::observe).toList());
    }

    /**
     * Creates the observation of a run on a worker that has crashed.
     *
     * @param run the run
     * @return what counts for the attribution of the crash
     */
    static CrashObservation observe(RunRecord run) {
        return new CrashObservation(
                run.task == null ? CrashHistory.NONE : run.task.crashes,
                run.knownActiveMillis(),
                run.isLongRunning());
    }

    /**
     * Returns whether a run has been active for so long that it does not crash its worker.
     *
     * @param run the run
     * @return whether it has
     */
    static boolean isSound(RunRecord run) {
        CrashHistory history = run.task == null ? CrashHistory.NONE : run.task.crashes;
        return history.isSound(run.knownActiveMillis(), run.isLongRunning());
    }
}
