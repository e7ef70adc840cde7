package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.policy.Policy;

/**
 * Selects the workers for gangs, whose members start all at once or not at all.
 *
 * <p>Load pattern: gangs that run faster on one rack, while the free capacity is fragmented over
 * many workers and some workers fail every run.
 */
final class GangPlacement {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Decides which workers may get a task. */
    private final WorkerSelector workerSelector;

    /** Holds the tickets for routes that need advice. */
    private final AdviceTicketProvider advice;

    /**
     * Creates a placement for the gangs of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param workerSelector decides which workers may get a task
     * @param advice holds the tickets for routes that need advice
     */
    GangPlacement(CellContext context, WorkerSelector workerSelector, AdviceTicketProvider advice) {
        this.context = context;
        this.workerSelector = workerSelector;
        this.advice = advice;
    }

    /**
     * Selects workers for all members of a gang. A gang that prefers one rack is spread over racks
     * if no rack has room for all members.
     *
     * @param step the step of the gang
     * @return a worker for each member in order, or an empty list if not all members fit
     */
    List<WorkerRecord> selectWorkers(StepRecord step) {
        if (step.spec.sameRack()) {
            for (String rack : possibleRacks()) {
                List<WorkerRecord> selected = assignGang(step, rack);
                if (!selected.isEmpty()) {
                    return selected;
                }
            }
        }
        return assignGang(step, "");
    }

    /**
     * Assigns the members of a gang one by one to the workers with the most free CPU. Workers that
     * any member avoids come last, since one member that fails ends the run of the whole gang.
     *
     * @param step the step of the gang
     * @param rack the label that all workers must have, or an empty string for any worker
     * @return a worker for each member in order, or an empty list if not all members fit
     */
    private List<WorkerRecord> assignGang(StepRecord step, String rack) {
        Map<WorkerRecord, Integer> assignedCounts = new HashMap<>();
        List<WorkerRecord> selected = new ArrayList<>();
        List<WorkerRecord> byFreeCpu = new ArrayList<>(context.allWorkers());
        Set<String> avoidedIds = avoidedWorkerIds(step);
        byFreeCpu.sort(
                Comparator.comparing((WorkerRecord worker) -> avoidedIds.contains(worker.id))
                        .thenComparingLong(worker -> -worker.freeResources().cpuMillicores()));
        Resources need = step.spec.reserved();
        boolean ticketRequired = advice.isRequired(step);
        for (int index = 0; index < step.count() && selected.size() == index; index++) {
            TaskRecord task = step.view(index);
            for (WorkerRecord worker : byFreeCpu) {
                int assignedHere = assignedCounts.getOrDefault(worker, 0);
                boolean belowLimit =
                        step.spec.maximumPerWorker() == 0
                                || assignedHere < step.spec.maximumPerWorker();
                boolean onRack = rack.isEmpty() || worker.entry.labels().contains(rack);
                if (belowLimit
                        && onRack
                        && workerSelector.isEligible(task, worker, ticketRequired)
                        && worker.freeResources().covers(multiply(need, assignedHere + 1))) {
                    assignedCounts.merge(worker, 1, Integer::sum);
                    selected.add(worker);
                    break;
                }
            }
        }
        return selected.size() == step.count() ? selected : List.of();
    }

    /**
     * Returns the workers on which a run of any member has failed.
     *
     * @param step the step of the gang
     * @return their identifiers, none if retries are not spread
     */
    private Set<String> avoidedWorkerIds(StepRecord step) {
        Set<String> avoidedIds = new HashSet<>();
        if (context.settings.policies().isEnabled(Policy.RETRY_SPREADING)) {
            step.records.forEach(task -> avoidedIds.addAll(task.avoidedWorkerIds));
        }
        return avoidedIds;
    }

    /**
     * Returns the labels that may name a rack. Labels do not say whether they name a rack.
     *
     * @return the labels of all workers, in alphabetical order
     */
    private Set<String> possibleRacks() {
        Set<String> racks = new TreeSet<>();
        context.allWorkers().forEach(worker -> racks.addAll(worker.entry.labels()));
        return racks;
    }

    /**
     * Multiplies resources by a number of tasks.
     *
     * @param need the resources of one task
     * @param count the number of tasks
     * @return the resources of all tasks
     */
    private static Resources multiply(Resources need, int count) {
        return new Resources(
                need.cpuMillicores() * count, need.memoryMb() * count, need.accelerators() * count);
    }
}
