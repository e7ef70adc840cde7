package org.damasktiller.verification.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.damasktiller.scheduler.port.DecodedWorker;
import org.damasktiller.standin.fleet.SimulatedWorker;
import org.jspecify.annotations.Nullable;

/** What is free on the sound workers of a simulated cell, as the workers themselves see it. */
final class FreeCapacity {

    /** The workers that take starts. */
    private final List<Candidate> candidates = new ArrayList<>();

    /** What the workers have. */
    private Resources total = Resources.NONE;

    /** What their runs reserve. */
    private Resources reserved = Resources.NONE;

    /**
     * Looks at the workers of a cell.
     *
     * @param simulation the cell
     * @param tasksByWorker the tasks that run on each worker
     */
    FreeCapacity(CellSimulation simulation, Map<String, List<TaskId>> tasksByWorker) {
        for (SimulatedWorker worker : simulation.workers.values()) {
            WorkerEntry entry = usableEntry(simulation, worker);
            if (entry != null) {
                Resources free = worker.freeResources();
                List<TaskId> tasks = tasksByWorker.getOrDefault(worker.id(), List.of());
                candidates.add(new Candidate(tasks, free, entry.labels()));
                total = total.plus(worker.capacity());
                reserved = reserved.plus(worker.capacity().minus(free));
            }
        }
    }

    /**
     * Returns the entry of a worker that takes starts.
     *
     * @param simulation the cell
     * @param worker the worker
     * @return the entry, or null if the worker is away, failing, draining or in a closed zone
     */
    private static @Nullable WorkerEntry usableEntry(
            CellSimulation simulation, SimulatedWorker worker) {
        String id = worker.id();
        if (!worker.isAlive()
                || simulation.unreachable.contains(id)
                || simulation.failingWorkers.contains(id)) {
            return null;
        }
        byte[] value = simulation.store.value(TestRecordCodec.WORKER_KEY_PREFIX + id);
        DecodedWorker decoded =
                value == null ? null : new TestRecordCodec().decodeWorker(id, value);
        WorkerEntry entry = decoded == null ? null : decoded.entry();
        if (entry == null
                || entry.draining()
                || simulation.store.value(TestRecordCodec.EVACUATION_KEY_PREFIX + entry.zone())
                        != null) {
            return null;
        }
        return entry;
    }

    /**
     * Returns whether under half of the processors and of the memory is reserved.
     *
     * @return whether it is
     */
    boolean isUnderHalfReserved() {
        return total.covers(reserved.plus(reserved).plus(new Resources(1, 1, 0)));
    }

    /**
     * Returns whether twice the need of a task is free on workers that it may use, and a worker has
     * room for it. For a gang, that holds for all of its members.
     *
     * @param task the task
     * @param spec its step
     * @return whether there is room
     */
    boolean holdsTwice(TaskId task, StepSpec spec) {
        long members = spec.gang() ? spec.count() : 1;
        Resources need = spec.need();
        Resources free = Resources.NONE;
        long slots = 0;
        for (Candidate candidate : candidates) {
            long room = candidate.slots(task, spec);
            if (room > 0) {
                free = free.plus(candidate.free());
                slots += room;
            }
        }
        return slots >= members
                && free.covers(
                        new Resources(
                                2 * members * need.cpuMillicores(),
                                2 * members * need.memoryMb(),
                                2 * members * need.accelerators()));
    }

    @Override
    public String toString() {
        return String.format(
                "%d workers, %d of %d millicores reserved",
                candidates.size(), reserved.cpuMillicores(), total.cpuMillicores());
    }

    /**
     * A worker that takes starts.
     *
     * @param tasks the tasks that run there
     * @param free what no run reserves
     * @param labels its labels
     */
    private record Candidate(List<TaskId> tasks, Resources free, List<String> labels) {

        /**
         * Returns how many more tasks of a step fit.
         *
         * @param task one of the tasks
         * @param spec the step
         * @return the number, 0 if the worker lacks the label of the step
         */
        long slots(TaskId task, StepSpec spec) {
            if (!spec.requiredLabel().isEmpty() && !labels.contains(spec.requiredLabel())) {
                return 0;
            }
            long slots = spec.maximumPerWorker() == 0 ? Long.MAX_VALUE : spec.maximumPerWorker();
            if (spec.maximumPerWorker() > 0) {
                slots -=
                        tasks.stream()
                                .filter(other -> other.submission().equals(task.submission()))
                                .filter(other -> other.occurrence() == task.occurrence())
                                .filter(other -> other.step() == task.step())
                                .count();
            }
            Resources need = spec.need();
            slots = Math.min(slots, free.cpuMillicores() / Math.max(1, need.cpuMillicores()));
            return Math.max(0, Math.min(slots, free.memoryMb() / Math.max(1, need.memoryMb())));
        }
    }
}
