package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Runs steps that are wider than their cell on three cells, from fixed seeds, while owners change,
 * workers crash, calls to the store are lost or late, and callers cancel. No task may have two
 * homes or two runs, nothing of a cancelled submission may run, and in the end all other tasks run.
 */
final class MoveMatrixTest {

    /** The number of cases of each test; their seeds count from 0. */
    private static final int SEED_COUNT = 20;

    /** The names of the cells; the first one accepts all submissions. */
    private static final List<String> CELLS =
            List.of(
                    CellSimulation.CELL,
                    CellSimulation.CELL + "@north",
                    CellSimulation.CELL + "@south");

    /** The number of workers of the first cell. */
    private static final int FIRST_CELL_WORKERS = 4;

    /** The number of workers of each other cell. */
    private static final int OTHER_CELL_WORKERS = 5;

    /** The number of tasks of a submission, each of which needs a worker of its own. */
    private static final int TASK_COUNT = 7;

    /** The most submissions that are open at the same time. */
    private static final int MAX_OPEN = 3;

    /** The most workers that are down at the same time. */
    private static final int MAX_DOWN = 3;

    /** How long the faults of a case last, in milliseconds. */
    private static final long FAULTS_MILLIS = 20_000;

    /** The time after the faults in which all tasks must run, in milliseconds. */
    private static final long SETTLE_MILLIS = 30_000;

    /** The time between two draws of faults, in milliseconds. */
    private static final long STEP_MILLIS = 50;

    /** The number of calls of which one has a fault in the cases with such faults. */
    private static final int CALLS_PER_FAULT = 15;

    /** The time between the moments at which a submission is cancelled, in milliseconds. */
    private static final long CANCEL_STEP_MILLIS = 16;

    /** The first and the last of these moments, in milliseconds after the submission. */
    private static final long CANCEL_FROM_MILLIS = 1_900;

    /** The last of these moments, in milliseconds after the submission. */
    private static final long CANCEL_TO_MILLIS = 2_700;

    /** The time after a cancellation from which on nothing may start, in milliseconds. */
    private static final long CANCEL_BOUND_MILLIS = 500;

    @Test
    void movesWhileOwnersChangeKeepOneHomeAndOneRunForEachTask() {
        assertThat(runCases(false), empty());
    }

    @Test
    void movesWithLostAndLateCallsKeepOneHomeAndOneRunForEachTask() {
        assertThat(runCases(true), empty());
    }

    @Test
    void cancelAtEachMomentOfMoveStopsAllParts() {
        List<String> violations = new ArrayList<>();
        int moved = 0;
        for (long at = CANCEL_FROM_MILLIS; at <= CANCEL_TO_MILLIS; at += CANCEL_STEP_MILLIS) {
            CellSimulation simulation = simulation();
            CELLS.forEach(cell -> startOwner(simulation, cell));
            simulation.runtime.advance(2_000);
            simulation.submit(id(0), wideStep());
            simulation.runtime.advance(at);
            simulation.cancel(id(0));
            simulation.runtime.advance(CANCEL_BOUND_MILLIS);
            int starts = startCount(simulation);
            simulation.runtime.advance(5_000);
            moved += simulation.logLines.stream().anyMatch(l -> l.contains(" task.moved ")) ? 1 : 0;
            if (starts != startCount(simulation) || activeCount(simulation, id(0)) > 0) {
                violations.add(at + ": a task starts or runs after the cancellation");
            }
            simulation.invariants.violations().forEach(violations::add);
        }
        assertThat(violations, empty());
        assertThat(moved, greaterThan(0));
    }

    /**
     * Runs the cases.
     *
     * @param callFaults whether calls to the store and to workers have faults, too
     * @return a line for each violation
     */
    private static List<String> runCases(boolean callFaults) {
        List<String> violations = new ArrayList<>();
        int moves = 0;
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            Case run = new Case(seed, callFaults);
            violations.addAll(run.run());
            moves += run.moveCount();
        }
        assertThat(moves, greaterThan(SEED_COUNT));
        return violations;
    }

    /**
     * Creates the cells without owners.
     *
     * @return the simulation
     */
    private static CellSimulation simulation() {
        CellSimulation simulation = new CellSimulation(FIRST_CELL_WORKERS);
        for (int cell = 1; cell < CELLS.size(); cell++) {
            for (int number = 0; number < OTHER_CELL_WORKERS; number++) {
                simulation.addWorker("x" + cell + number, CELLS.get(cell));
            }
        }
        return simulation;
    }

    /**
     * Starts an owner without faults.
     *
     * @param simulation the simulation
     * @param cell the name of the cell
     */
    private static void startOwner(CellSimulation simulation, String cell) {
        simulation.startOwner(
                cell, FaultPlan.NO_FAULTS, FaultPlan.NO_FAULTS, simulation.unreachable);
    }

    /**
     * Creates a step that needs more workers than any of the cells has.
     *
     * @return the step
     */
    private static StepSpec wideStep() {
        return StepSpec.builder(TASK_COUNT, new Resources(2_000, 1_000, 0))
                .estimateMillis(400)
                .lasting(true)
                .maximumPerWorker(1)
                .build();
    }

    /**
     * Returns the identifier of a submission.
     *
     * @param number the number of the submission, from 0
     * @return the identifier
     */
    private static String id(int number) {
        return String.format("%016x", 0xd0 + number);
    }

    /**
     * Returns a task of a submission.
     *
     * @param id the identifier of the submission
     * @param index the number of the task
     * @return the identifier of the task
     */
    private static TaskId task(String id, int index) {
        return new TaskId(id, 0, 0, index);
    }

    /**
     * Counts the active runs of a submission.
     *
     * @param simulation the simulation
     * @param id the identifier of the submission
     * @return the number of runs
     */
    private static int activeCount(CellSimulation simulation, String id) {
        int count = 0;
        for (int index = 0; index < TASK_COUNT; index++) {
            count += simulation.invariants.activeRunCount(task(id, index));
        }
        return count;
    }

    /**
     * Counts the starts of the first submission.
     *
     * @param simulation the simulation
     * @return the number of starts
     */
    private static int startCount(CellSimulation simulation) {
        int count = 0;
        for (int index = 0; index < TASK_COUNT; index++) {
            count += simulation.invariants.startCount(task(id(0), index));
        }
        return count;
    }

    /** A case with its cells and its owners. */
    private static final class Case {

        /** The seed, for the messages. */
        private final int seed;

        /** Whether calls to the store and to workers have faults, too. */
        private final boolean callFaults;

        /** Whether the faults have ended. */
        private boolean healed;

        /** Selects the faults. */
        private final SplittableRandom random;

        /** The cells. */
        private final CellSimulation simulation = simulation();

        /** The present owner of each cell. */
        private final Map<String, OwnerProcess> owners = new LinkedHashMap<>();

        /** All owners. */
        private final List<OwnerProcess> allOwners = new ArrayList<>();

        /** The owners that have lost the store. */
        private final Set<OwnerProcess> ownersWithoutStore = new HashSet<>();

        /** The identifiers of the open submissions. */
        private final List<String> open = new ArrayList<>();

        /** The identifiers of the cancelled submissions. */
        private final List<String> cancelled = new ArrayList<>();

        /** The identifiers of the workers that are down. */
        private final Set<String> down = new HashSet<>();

        /** The violations. */
        private final List<String> violations = new ArrayList<>();

        /**
         * Creates a case.
         *
         * @param seed the seed
         * @param callFaults whether calls to the store and to workers have faults, too
         */
        Case(int seed, boolean callFaults) {
            this.seed = seed;
            this.callFaults = callFaults;
            this.random = new SplittableRandom(seed);
        }

        /**
         * Runs the case.
         *
         * @return a line for each violation
         */
        List<String> run() {
            CELLS.forEach(this::startOwner);
            simulation.runtime.advance(1_000);
            for (long elapsed = 0; elapsed < FAULTS_MILLIS; elapsed += STEP_MILLIS) {
                drawFaults();
                simulation.runtime.advance(STEP_MILLIS);
                checkHomes();
            }
            healed = true;
            allOwners.forEach(OwnerProcess::kill);
            owners.clear();
            CELLS.forEach(this::startOwner);
            simulation.runtime.advance(SETTLE_MILLIS);
            checkHomes();
            checkEnd();
            return violations;
        }

        /**
         * Counts the tasks that have moved.
         *
         * @return the number of log lines on moves
         */
        int moveCount() {
            return (int)
                    simulation.logLines.stream()
                            .filter(line -> line.contains(" task.moved "))
                            .count();
        }

        /** Draws whether a submission comes or goes, an owner changes and a worker crashes. */
        private void drawFaults() {
            if (open.size() < MAX_OPEN && random.nextInt(20) == 0) {
                String id = id(open.size() + cancelled.size());
                open.add(id);
                simulation.submit(id, wideStep());
            }
            if (!open.isEmpty() && random.nextInt(100) == 0) {
                String id = open.remove(random.nextInt(open.size()));
                cancelled.add(id);
                simulation.cancel(id);
            }
            if (random.nextInt(25) == 0) {
                changeOwner(CELLS.get(random.nextInt(CELLS.size())));
            }
            if (random.nextInt(40) == 0 && down.size() < MAX_DOWN) {
                crashWorker();
            }
        }

        /**
         * Replaces the owner of a cell. The former one is killed, leaves, or lives on without the
         * store, for some cases after a freeze.
         *
         * @param cell the name of the cell
         */
        private void changeOwner(String cell) {
            OwnerProcess former = owners.get(cell);
            if (former == null) {
                return;
            }
            switch (random.nextInt(3)) {
                case 0 -> former.kill();
                case 1 -> former.leave();
                default -> {
                    ownersWithoutStore.add(former);
                    if (random.nextBoolean()) {
                        former.clock.freeze();
                        after(random.nextInt(200, 6_000), former.clock::unfreeze);
                    }
                }
            }
            owners.remove(cell);
            after(random.nextInt(1, 1_500), () -> startOwner(cell));
        }

        /**
         * Starts an owner, unless the cell has got one.
         *
         * @param cell the name of the cell
         */
        private void startOwner(String cell) {
            if (owners.containsKey(cell)) {
                return;
            }
            int number = allOwners.size();
            FaultPlan storeFaults =
                    call ->
                            number < allOwners.size()
                                            && ownersWithoutStore.contains(allOwners.get(number))
                                    ? CallFault.LOST
                                    : drawCallFault();
            OwnerProcess owner =
                    simulation.startOwner(
                            cell, storeFaults, call -> drawCallFault(), simulation.unreachable);
            owners.put(cell, owner);
            allOwners.add(owner);
        }

        /**
         * Draws the fault of a call.
         *
         * @return the fault
         */
        private CallFault drawCallFault() {
            CallFault[] faults = CallFault.values();
            return healed || !callFaults || random.nextInt(CALLS_PER_FAULT) > 0
                    ? CallFault.ANSWERED
                    : faults[random.nextInt(faults.length)];
        }

        /** Crashes a worker, which boots again under its identifier. */
        private void crashWorker() {
            List<String> ids = new ArrayList<>(simulation.workers.keySet());
            String id = ids.get(random.nextInt(ids.size()));
            if (!down.add(id)) {
                return;
            }
            simulation.workers.get(id).crash();
            simulation.unreachable.add(id);
            after(
                    random.nextInt(3_000, 15_000),
                    () -> {
                        simulation.workers.get(id).boot();
                        simulation.unreachable.remove(id);
                        simulation.register(id, false);
                        down.remove(id);
                    });
        }

        /**
         * Schedules an action.
         *
         * @param delayMillis the delay, in milliseconds
         * @param action the action
         */
        private void after(int delayMillis, Runnable action) {
            simulation.runtime.schedule(delayMillis, action);
        }

        /** Checks that each task of the open submissions has one home in the store. */
        private void checkHomes() {
            for (String id : open) {
                Map<TaskId, Integer> homes = new HashMap<>();
                for (String cell : CELLS) {
                    byte[] value =
                            simulation.store.value(CellKeys.openSubmissionsPrefix(cell) + id);
                    AcceptedSubmission entry =
                            value == null
                                    ? null
                                    : StoredValueCodec.decode(value, AcceptedSubmission.class);
                    for (int index = 0; index < TASK_COUNT; index++) {
                        SubmissionPart part = entry == null ? null : entry.part();
                        boolean home = part == null ? entry != null : part.holds(task(id, index));
                        homes.merge(task(id, index), home ? 1 : 0, Integer::sum);
                    }
                }
                homes.forEach(
                        (task, count) -> {
                            if (count != 1) {
                                violations.add(seed + ": " + task + " has " + count + " homes");
                            }
                        });
            }
        }

        /** Checks that all tasks of the open submissions run, and none of the cancelled ones. */
        private void checkEnd() {
            simulation.invariants.violations().forEach(line -> violations.add(seed + ": " + line));
            simulation.repeatedRuns.forEach(
                    run -> violations.add(seed + ": " + run + " has started twice"));
            for (String id : open) {
                for (int index = 0; index < TASK_COUNT; index++) {
                    if (simulation.invariants.activeRunCount(task(id, index)) != 1) {
                        violations.add(seed + ": " + task(id, index) + " does not run");
                    }
                }
            }
            for (String id : cancelled) {
                if (activeCount(simulation, id) > 0) {
                    violations.add(seed + ": " + id + " runs although it was cancelled");
                }
                if (simulation.submissionState(id) != SubmissionState.CANCELLED) {
                    violations.add(seed + ": " + id + " is not stored as cancelled");
                }
                for (String cell : CELLS) {
                    if (simulation.store.value(CellKeys.openSubmissionsPrefix(cell) + id) != null) {
                        violations.add(seed + ": " + id + " is still open in " + cell);
                    }
                }
            }
        }
    }
}
