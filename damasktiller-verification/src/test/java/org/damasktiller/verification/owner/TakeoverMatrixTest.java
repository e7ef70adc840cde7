package org.damasktiller.verification.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.FaultInjectingWorkerClient;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;
import org.junit.jupiter.api.Test;

/**
 * Changes the owner of a cell many times in short succession, from fixed seeds, while workers
 * drain, leave, are cut off or crash. Some owners live on without the store or without some of the
 * workers after they were replaced. No task may run twice, and in the end everything runs.
 *
 * <p>In the cases with replaced workers, half of those that crash come back under another
 * identifier at their address, the others under their own, and many starts and stops get no answer;
 * some of these are carried out late, when the worker has come back.
 */
final class TakeoverMatrixTest {

    /** The number of cases; their seeds count from 0. */
    private static final int SEED_COUNT = 100;

    /** How long the faults of a case last, in milliseconds. */
    private static final long FAULTS_MILLIS = 24_000;

    /** The time after the faults in which everything must finish or run, in milliseconds. */
    private static final long SETTLE_MILLIS = 30_000;

    /** The time between two draws of faults, in milliseconds. */
    private static final long STEP_MILLIS = 100;

    /** The number of workers at the beginning. */
    private static final int WORKER_COUNT = 8;

    /** The number of long-running submissions, each of two tasks. */
    private static final int LONG_RUNNING_COUNT = 5;

    /** The shortest time that a worker is away after a crash, in milliseconds. */
    private static final int MIN_CRASH_MILLIS = 3_000;

    /** The shortest such time in the cases with replaced workers, in milliseconds. */
    private static final int MIN_REPLACEMENT_MILLIS = 1_000;

    /** The number of calls of which one has a fault in the cases with such faults. */
    private static final int CALLS_PER_FAULT = 20;

    /** The number of starts and stops of which one has a fault if workers are replaced. */
    private static final int REQUESTS_PER_FAULT = 5;

    @Test
    void ownersThatFollowEachOtherRunNothingTwiceAndLoseNothing() {
        assertThat(runCases(Kind.SOUND_CALLS), empty());
    }

    @Test
    void ownersThatFollowEachOtherWithFaultyCallsRunNothingTwiceAndLoseNothing() {
        assertThat(runCases(Kind.FAULTY_CALLS), empty());
    }

    @Test
    void ownersThatFollowEachOtherWhileWorkersAreReplacedRunNothingTwiceAndLoseNothing() {
        assertThat(runCases(Kind.REPLACED_WORKERS), empty());
    }

    /**
     * Runs the cases.
     *
     * @param kind the kind of the cases
     * @return a line for each violation
     */
    private static List<String> runCases(Kind kind) {
        List<String> violations = new ArrayList<>();
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            violations.addAll(new Case(seed, kind).run());
        }
        return violations;
    }

    /** What the cases have besides changes of the owner and faults of workers. */
    private enum Kind {
        /** Nothing. */
        SOUND_CALLS,
        /** Faults of calls to the store and to workers. */
        FAULTY_CALLS,
        /** Workers that come back under another identifier, and faults of starts and stops. */
        REPLACED_WORKERS
    }

    /**
     * The workers that an owner can't reach: those in the set, those that nobody reaches, and those
     * that are not running.
     */
    private static final class CutOffWorkers extends AbstractSet<String> {

        /** The cell. */
        private final CellSimulation cell;

        /** The identifiers of the workers that only this owner can't reach. */
        private final Set<String> own;

        /**
         * Creates a set.
         *
         * @param cell the cell
         * @param own the identifiers of the workers that only this owner can't reach
         */
        CutOffWorkers(CellSimulation cell, Set<String> own) {
            this.cell = cell;
            this.own = own;
        }

        @Override
        public boolean contains(Object id) {
            return own.contains(id)
                    || cell.unreachable.contains(id)
                    || !cell.workers.get(id).isAlive();
        }

        @Override
        public Iterator<String> iterator() {
            return cell.workers.keySet().stream().filter(this::contains).iterator();
        }

        @Override
        public int size() {
            return (int) cell.workers.keySet().stream().filter(this::contains).count();
        }
    }

    /** A case with its cell and its owners. */
    private static final class Case {

        /** The seed, for the messages. */
        private final int seed;

        /** What the case has besides changes of the owner and faults of workers. */
        private final Kind kind;

        /** Whether the faults have ended. */
        private boolean healed;

        /** Selects the faults. */
        private final SplittableRandom random;

        /** The cell. */
        private final CellSimulation simulation = new CellSimulation(WORKER_COUNT);

        /** The processes of all owners, the present one last. */
        private final List<OwnerProcess> owners = new ArrayList<>();

        /** The owners that have lost the store. */
        private final Set<OwnerProcess> ownersWithoutStore = new HashSet<>();

        /** The identifiers of the workers that have neither left nor a fault in progress. */
        private final List<String> soundWorkers = new ArrayList<>();

        /** The identifiers of the submissions of short tasks. */
        private final List<String> shortSubmissions = new ArrayList<>();

        /**
         * Creates a case.
         *
         * @param seed the seed
         * @param kind what the case has besides changes of the owner and faults of workers
         */
        Case(int seed, Kind kind) {
            this.seed = seed;
            this.kind = kind;
            this.random = new SplittableRandom(seed);
            soundWorkers.addAll(simulation.workers.keySet());
        }

        /**
         * Runs the case.
         *
         * @return a line for each violation
         */
        List<String> run() {
            startOwner(Set.of());
            for (int number = 0; number < LONG_RUNNING_COUNT; number++) {
                simulation.submit(longRunningId(number), CellSimulation.longRunningStep(2));
            }
            for (long elapsed = 0; elapsed < FAULTS_MILLIS; elapsed += STEP_MILLIS) {
                drawFaults();
                simulation.runtime.advance(STEP_MILLIS);
            }
            healed = true;
            simulation.unreachable.clear();
            owners.forEach(OwnerProcess::kill);
            startOwner(Set.of());
            simulation.runtime.advance(SETTLE_MILLIS);
            return violations();
        }

        /** Draws whether a submission comes, the owner changes and a fault of a worker begins. */
        private void drawFaults() {
            if (random.nextInt(5) == 0) {
                String id = String.format("%016x", 0x1000 + shortSubmissions.size());
                shortSubmissions.add(id);
                simulation.submit(id, CellSimulation.shortStep(2), CellSimulation.shortStep(1, 0));
            }
            if (random.nextInt(15) == 0) {
                changeOwner();
            }
            if (random.nextInt(12) == 0 && soundWorkers.size() > WORKER_COUNT / 2) {
                String id = soundWorkers.remove(random.nextInt(soundWorkers.size()));
                switch (random.nextInt(3)) {
                    case 0 -> drain(id);
                    case 1 -> cutOff(id);
                    default -> {
                        if (kind == Kind.REPLACED_WORKERS && random.nextBoolean()) {
                            replace(id);
                        } else {
                            crash(id);
                        }
                    }
                }
            }
        }

        /**
         * Replaces the owner. The former one is killed, or lives on without the store, for some
         * cases after a freeze; the next one may be cut off from some workers for some seconds.
         */
        private void changeOwner() {
            OwnerProcess former = owners.get(owners.size() - 1);
            Set<String> cutOffWorkers = FaultInjectingWorkerClient.newIdSet();
            for (String id : simulation.workers.keySet()) {
                if (random.nextInt(8) == 0) {
                    cutOffWorkers.add(id);
                }
            }
            int end = random.nextInt(6);
            if (end < 2) {
                former.kill();
            } else if (end < 4) {
                former.leave();
            } else {
                ownersWithoutStore.add(former);
                if (random.nextBoolean()) {
                    former.clock.freeze();
                    after(random.nextInt(200, 6_000), former.clock::unfreeze);
                }
            }
            startOwner(cutOffWorkers);
            after(random.nextInt(500, 9_000), cutOffWorkers::clear);
        }

        /**
         * Starts an owner.
         *
         * @param cutOffWorkers the identifiers of the workers that only it cannot reach
         */
        private void startOwner(Set<String> cutOffWorkers) {
            int number = owners.size();
            FaultPlan storeFaults =
                    call ->
                            number < owners.size()
                                            && ownersWithoutStore.contains(owners.get(number))
                                    ? CallFault.LOST
                                    : drawCallFault(call);
            owners.add(
                    simulation.startOwner(
                            storeFaults,
                            this::drawCallFault,
                            new CutOffWorkers(simulation, cutOffWorkers)));
        }

        /**
         * Draws the fault of a call.
         *
         * @param call the kind of the call
         * @return the fault
         */
        private CallFault drawCallFault(String call) {
            CallFault[] faults = CallFault.values();
            return healed || !isFaulty(call)
                    ? CallFault.ANSWERED
                    : faults[random.nextInt(faults.length)];
        }

        /**
         * Draws whether a call has a fault.
         *
         * @param call the kind of the call
         * @return whether it has
         */
        private boolean isFaulty(String call) {
            return switch (kind) {
                case SOUND_CALLS -> false;
                case FAULTY_CALLS -> random.nextInt(CALLS_PER_FAULT) == 0;
                case REPLACED_WORKERS ->
                        (call.equals("start") || call.equals("stop"))
                                && random.nextInt(REQUESTS_PER_FAULT) == 0;
            };
        }

        /**
         * Drains a worker, which then leaves, and adds another one.
         *
         * @param id the identifier of the worker
         */
        private void drain(String id) {
            simulation.register(id, true);
            String next = "w" + simulation.workers.size();
            simulation.addWorker(next);
            soundWorkers.add(next);
            after(
                    random.nextInt(1_500, 6_000),
                    () -> {
                        simulation.workers.get(id).crash();
                        simulation.unreachable.add(id);
                        simulation.unregister(id);
                    });
        }

        /**
         * Cuts a worker off from all owners; its entry goes and comes back.
         *
         * @param id the identifier of the worker
         */
        private void cutOff(String id) {
            simulation.unreachable.add(id);
            after(random.nextInt(500, 3_300), () -> simulation.unregister(id));
            after(
                    random.nextInt(3_400, 9_000),
                    () -> {
                        simulation.unreachable.remove(id);
                        simulation.register(id, false);
                        soundWorkers.add(id);
                    });
        }

        /**
         * Crashes a worker, which boots again under its identifier.
         *
         * @param id the identifier of the worker
         */
        private void crash(String id) {
            simulation.workers.get(id).crash();
            simulation.unreachable.add(id);
            int minimum = kind == Kind.REPLACED_WORKERS ? MIN_REPLACEMENT_MILLIS : MIN_CRASH_MILLIS;
            after(
                    random.nextInt(minimum, 9_000),
                    () -> {
                        simulation.workers.get(id).boot();
                        simulation.unreachable.remove(id);
                        simulation.register(id, false);
                        soundWorkers.add(id);
                    });
        }

        /**
         * Crashes a worker. Another one boots at its address, and its entry goes.
         *
         * @param id the identifier of the worker
         */
        private void replace(String id) {
            simulation.workers.get(id).crash();
            simulation.unreachable.add(id);
            after(random.nextInt(500, 5_000), () -> simulation.unregister(id));
            after(
                    random.nextInt(MIN_REPLACEMENT_MILLIS, 5_000),
                    () -> soundWorkers.add(simulation.addSuccessor(id)));
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

        /**
         * Returns what is wrong at the end of the case.
         *
         * @return a line for each violation
         */
        private List<String> violations() {
            List<String> lines = new ArrayList<>();
            simulation.invariants.violations().forEach(line -> lines.add(seed + ": " + line));
            for (String id : shortSubmissions) {
                if (simulation.submissionState(id) != SubmissionState.SUCCEEDED) {
                    lines.add(seed + ": " + id + " is " + simulation.submissionState(id));
                }
            }
            for (int number = 0; number < LONG_RUNNING_COUNT; number++) {
                for (int index = 0; index < 2; index++) {
                    TaskId task = new TaskId(longRunningId(number), 0, 0, index);
                    if (simulation.invariants.activeRunCount(task) != 1) {
                        lines.add(seed + ": " + task + " does not run");
                    }
                }
            }
            return lines;
        }

        /**
         * Returns the identifier of a long-running submission.
         *
         * @param number the number of the submission, from 0
         * @return the identifier
         */
        private static String longRunningId(int number) {
            return String.format("%016x", 0xa0 + number);
        }
    }
}
