package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.damasktiller.scheduler.crash.CommonCause;
import org.damasktiller.scheduler.crash.CrashAttribution;
import org.damasktiller.scheduler.crash.CrashObservation;
import org.damasktiller.scheduler.crash.CrashRole;

/** Evaluates the runs on a worker that has crashed or is lost, each of them once. */
final class CrashEvaluator {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Tells which crashes probably have a common cause. */
    private final CommonCauseDetector commonCauses;

    /** Tells which tasks are still to be done. */
    private final Predicate<TaskRecord> isOpen;

    /**
     * Creates an evaluator.
     *
     * @param context the shared state of the cell's owner
     * @param commonCauses tells which crashes probably have a common cause
     * @param isOpen tells which tasks are still to be done
     */
    CrashEvaluator(
            CellContext context, CommonCauseDetector commonCauses, Predicate<TaskRecord> isOpen) {
        this.context = context;
        this.commonCauses = commonCauses;
        this.isOpen = isOpen;
    }

    /**
     * Evaluates the runs on a worker.
     *
     * @param worker the worker
     * @return the open tasks with their roles; without runs that were evaluated before
     */
    List<TaskCrash> evaluate(WorkerRecord worker) {
        List<RunRecord> runs = new ArrayList<>();
        for (RunRecord run : worker.runs.values()) {
            if (!run.crashEvaluated) {
                run.crashEvaluated = true;
                runs.add(run);
            }
        }
        List<CrashObservation> observations =
                runs.stream().map(CommonCauseDetector::observe).toList();
        worker.crashCandidates = CrashAttribution.countCandidates(observations);
        CommonCause commonCause = commonCauses.commonCauseOf(worker);
        List<CrashRole> roles = CrashAttribution.attribute(observations, commonCause);
        List<TaskCrash> crashes = new ArrayList<>();
        Map<CrashRole, Integer> roleCounts = new EnumMap<>(CrashRole.class);
        for (int index = 0; index < runs.size(); index++) {
            TaskRecord task = runs.get(index).task;
            CrashRole role = roles.get(index);
            roleCounts.merge(role, 1, Integer::sum);
            if (task != null && isOpen.test(task)) {
                boolean counted = task.crashes.isSuspect() && mayBeCause(role);
                crashes.add(new TaskCrash(task, role, counted));
            }
        }
        if (!runs.isEmpty()) {
            context.log.log(
                    "worker.crash",
                    "worker",
                    worker.id,
                    "runs",
                    runs.size(),
                    "candidates",
                    worker.crashCandidates,
                    "commonCause",
                    commonCause,
                    "roles",
                    roleCounts.toString());
        }
        return crashes;
    }

    /**
     * Returns whether a task may be the cause of a crash.
     *
     * @param role how the task is involved
     * @return whether it is not only a bystander
     */
    private static boolean mayBeCause(CrashRole role) {
        return role == CrashRole.CANDIDATE || role == CrashRole.UNCERTAIN;
    }
}
