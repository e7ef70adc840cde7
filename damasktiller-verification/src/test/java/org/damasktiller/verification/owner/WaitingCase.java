package org.damasktiller.verification.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.standin.metadata.CallFault;
import org.damasktiller.verification.owner.CellSimulation.OwnerProcess;

/**
 * A small cell with work and disruptions drawn from a seed, followed by a calm time. Each case has
 * some of the kinds of disruption, in series that overlap.
 */
final class WaitingCase {

    /** How long disruptions are drawn, in milliseconds. */
    private static final long DISRUPTED_MILLIS = 12_000;

    /** The longest time that a disruption lasts, in milliseconds. */
    private static final int MAX_DISRUPTION_MILLIS = 5_000;

    /** The time after the last draw, in milliseconds. */
    private static final long CALM_MILLIS = 15_000 + MAX_DISRUPTION_MILLIS;

    /** The time between two draws, in milliseconds. */
    private static final long STEP_MILLIS = 100;

    /** The shortest time between two changes of the owner, in milliseconds. */
    private static final long MIN_TERM_MILLIS = 1_500;

    /** The greatest number of kinds of disruption in a case. */
    private static final int MAX_KINDS = 4;

    /** The greatest number of steps of time of which one has a disruption. */
    private static final int MAX_STEPS_PER_DISRUPTION = 12;

    /** The number of starts and stops of which one has a fault. */
    private static final int REQUESTS_PER_FAULT = 6;

    /** The kinds of disruption. */
    enum Disruption {
        /** A worker crashes and boots again under its identifier. */
        CRASH,
        /** A worker crashes for good; another one boots elsewhere. */
        LOSS,
        /** Many workers crash within a short time; others boot at their addresses. */
        CRASH_WAVE,
        /** A worker cannot be reached for some time; its entry may go meanwhile. */
        CUT_OFF,
        /** A worker drains and leaves; another one boots. */
        DRAIN,
        /** The owner is killed. */
        OWNER_KILLED,
        /** The owner hands over and leaves. */
        OWNER_LEAVES,
        /** All runs on a worker fail for some time. */
        FAILING_WORKER,
        /** A zone is evacuated and taken back. */
        EVACUATION,
        /** A worker changes its capacity for good; its entry shows it later. */
        RESIZE,
        /** Starts and stops are late or lost. */
        FAULTY_STARTS,
        /** A submission of which all runs fail. */
        FAILING_TASKS,
        /** A submission of which all runs crash their worker. */
        CRASHING_TASKS
    }

    /** The disruptions that make tasks suspects. */
    static final Set<Disruption> CRASHES =
            Set.of(Disruption.CRASH, Disruption.CRASH_WAVE, Disruption.CRASHING_TASKS);

    /** Selects work and disruptions. */
    private final SplittableRandom random;

    /** The cell. */
    private final CellSimulation simulation;

    /** Judges what waits. */
    private final WaitingOracle oracle;

    /** Draws the work. */
    private final WaitingWork work;

    /** The kinds of disruption in this case. */
    private final List<Disruption> disruptions = new ArrayList<>();

    /** The identifiers of the workers without a fault in progress. */
    private final List<String> soundWorkers = new ArrayList<>();

    /** The number of workers at the beginning. */
    private final int workerCount;

    /** The number of steps of time of which one has a disruption. */
    private final int stepsPerDisruption;

    /** The present owner, or the last one. */
    private OwnerProcess owner;

    /** When the owner may change again, in milliseconds. */
    private long nextChangeMillis;

    /** Whether disruptions are drawn. */
    private boolean disrupted = true;

    /**
     * Creates a case.
     *
     * @param seed the seed
     * @param kinds the kinds of disruption to draw from
     */
    WaitingCase(int seed, Set<Disruption> kinds) {
        random = new SplittableRandom(seed);
        workerCount = random.nextInt(4, random.nextBoolean() ? 8 : 17);
        stepsPerDisruption = random.nextInt(2, MAX_STEPS_PER_DISRUPTION + 1);
        simulation = new CellSimulation(workerCount);
        List<Disruption> left = new ArrayList<>(kinds);
        left.sort(null);
        for (int count = random.nextInt(1, MAX_KINDS + 1); count > 0; count--) {
            disruptions.add(left.remove(random.nextInt(left.size())));
        }
        simulation.evacuationBoundMillis = 5_000;
        simulation.tailMillis = 25;
        simulation.taskDurationMillis = new int[] {300, 1_000, 2_000}[random.nextInt(3)];
        int number = 0;
        for (String id : simulation.workers.keySet()) {
            simulation.zones.put(id, number % 2 == 0 ? "zone" : "other");
            simulation.labels.put(id, List.of(number % 3 == 0 ? "special" : "plain"));
            simulation.register(id, false);
            soundWorkers.add(id);
            number++;
        }
        oracle = new WaitingOracle(simulation);
        work = new WaitingWork(simulation, random, workerCount);
        owner = startOwner();
    }

    /** Runs the case. */
    void run() {
        work.submitLongRunning();
        for (long elapsed = 0; elapsed < DISRUPTED_MILLIS; elapsed += STEP_MILLIS) {
            if (random.nextInt(stepsPerDisruption) == 0) {
                begin(disruptions.get(random.nextInt(disruptions.size())));
            }
            work.draw();
            simulation.runtime.advance(STEP_MILLIS);
        }
        disrupted = false;
        work.cancelFaulty();
        for (long elapsed = 0; elapsed < CALM_MILLIS; elapsed += STEP_MILLIS) {
            work.draw();
            simulation.runtime.advance(STEP_MILLIS);
        }
    }

    /**
     * Returns the cell.
     *
     * @return the cell
     */
    CellSimulation simulation() {
        return simulation;
    }

    /**
     * Returns the oracle.
     *
     * @return the oracle
     */
    WaitingOracle oracle() {
        return oracle;
    }

    /**
     * Returns the kinds of disruption that were drawn.
     *
     * @return the kinds
     */
    List<Disruption> disruptions() {
        return disruptions;
    }

    /**
     * Begins a disruption.
     *
     * @param kind its kind
     */
    private void begin(Disruption kind) {
        soundWorkers.removeIf(id -> !simulation.workers.get(id).isAlive());
        switch (kind) {
            case OWNER_KILLED -> changeOwner(true);
            case OWNER_LEAVES -> changeOwner(false);
            case EVACUATION -> evacuate();
            case FAILING_TASKS -> work.submitFailing();
            case CRASHING_TASKS -> work.submitCrashing();
            case CRASH_WAVE -> crashWave();
            case FAULTY_STARTS -> {}
            default -> disturbWorker(kind);
        }
    }

    /**
     * Begins a disruption of a sound worker, unless most workers are disturbed. Only failures of
     * runs may affect all of them.
     *
     * @param kind its kind
     */
    private void disturbWorker(Disruption kind) {
        boolean all = kind == Disruption.FAILING_WORKER;
        if (soundWorkers.size() <= (all ? 0 : workerCount / 2)) {
            return;
        }
        String id = soundWorkers.get(random.nextInt(soundWorkers.size()));
        switch (kind) {
            case CRASH -> crash(id, random.nextInt(1_000, MAX_DISRUPTION_MILLIS));
            case CUT_OFF -> cutOff(id);
            case DRAIN -> drain(id);
            case LOSS -> lose(id);
            case FAILING_WORKER -> fail(id);
            case RESIZE -> resize(id);
            default -> throw new IllegalArgumentException(kind.toString());
        }
    }

    /**
     * Replaces the owner, after a time without any.
     *
     * @param killed whether it is killed; otherwise it leaves
     */
    private void changeOwner(boolean killed) {
        long now = simulation.runtime.nowMillis();
        if (now < nextChangeMillis) {
            return;
        }
        int vacantMillis = killed ? random.nextInt(100, 2_500) : random.nextInt(50, 600);
        nextChangeMillis = now + vacantMillis + MIN_TERM_MILLIS;
        if (killed) {
            owner.kill();
        } else {
            owner.leave();
        }
        during(!killed, vacantMillis, () -> owner = startOwner());
    }

    /**
     * Starts an owner.
     *
     * @return its process
     */
    private OwnerProcess startOwner() {
        return simulation.startOwner(
                call -> CallFault.ANSWERED,
                this::drawCallFault,
                new UnreachableWorkers(simulation));
    }

    /**
     * Draws the fault of a call to a worker.
     *
     * @param call the kind of the call
     * @return the fault
     */
    private CallFault drawCallFault(String call) {
        boolean faulty =
                disrupted
                        && disruptions.contains(Disruption.FAULTY_STARTS)
                        && (call.equals("start") || call.equals("stop"))
                        && random.nextInt(REQUESTS_PER_FAULT) == 0;
        if (!faulty) {
            return CallFault.ANSWERED;
        }
        CallFault[] faults = CallFault.values();
        during(0, () -> {});
        return faults[random.nextInt(faults.length)];
    }

    /** Evacuates a zone for some time. */
    private void evacuate() {
        simulation.evacuate("other");
        during(random.nextInt(1_000, MAX_DISRUPTION_MILLIS), () -> simulation.takeBack("other"));
    }

    /** Crashes up to half of the workers, at about the same time. */
    private void crashWave() {
        int count = Math.min(soundWorkers.size() - 1, random.nextInt(1, 1 + workerCount / 2));
        for (int number = 0; number < count; number++) {
            crash(soundWorkers.get(random.nextInt(soundWorkers.size())), 3_000);
        }
    }

    /**
     * Crashes a worker, which boots again.
     *
     * @param id the identifier of the worker
     * @param millis how long it is down, in milliseconds
     */
    private void crash(String id, int millis) {
        soundWorkers.remove(id);
        simulation.workers.get(id).crash();
        simulation.unreachable.add(id);
        during(
                millis,
                () -> {
                    simulation.workers.get(id).boot();
                    simulation.unreachable.remove(id);
                    simulation.register(id, false);
                    soundWorkers.add(id);
                });
    }

    /**
     * Cuts a worker off from all owners; its entry may go and comes back.
     *
     * @param id the identifier of the worker
     */
    private void cutOff(String id) {
        soundWorkers.remove(id);
        simulation.unreachable.add(id);
        int millis = random.nextInt(500, MAX_DISRUPTION_MILLIS);
        if (random.nextBoolean()) {
            during(millis / 2, () -> simulation.unregister(id));
        }
        during(
                millis,
                () -> {
                    if (simulation.workers.get(id).isAlive()) {
                        simulation.unreachable.remove(id);
                        simulation.register(id, false);
                        soundWorkers.add(id);
                    }
                });
    }

    /**
     * Drains a worker, which then leaves, and adds another one.
     *
     * @param id the identifier of the worker
     */
    private void drain(String id) {
        simulation.register(id, true);
        addReplacement(id);
        during(true, random.nextInt(200, MAX_DISRUPTION_MILLIS), () -> removeWorker(id));
    }

    /**
     * Crashes a worker for good; its entry goes later, and another worker boots.
     *
     * @param id the identifier of the worker
     */
    private void lose(String id) {
        simulation.workers.get(id).crash();
        simulation.unreachable.add(id);
        addReplacement(id);
        during(random.nextInt(500, 4_000), () -> removeWorker(id));
    }

    /**
     * Boots another worker of the same kind at an address of its own.
     *
     * @param id the identifier of the worker that leaves
     */
    private void addReplacement(String id) {
        soundWorkers.remove(id);
        String next = "w" + simulation.workers.size();
        simulation.zones.put(next, simulation.zones.get(id));
        simulation.labels.put(next, simulation.labels.get(id));
        simulation.addWorker(next);
        soundWorkers.add(next);
    }

    /**
     * Ends a worker for good.
     *
     * @param id the identifier of the worker
     */
    private void removeWorker(String id) {
        simulation.workers.get(id).crash();
        simulation.unreachable.add(id);
        simulation.unregister(id);
    }

    /**
     * Lets all runs on a worker fail for some time.
     *
     * @param id the identifier of the worker
     */
    private void fail(String id) {
        soundWorkers.remove(id);
        simulation.failingWorkers.add(id);
        during(
                random.nextInt(500, MAX_DISRUPTION_MILLIS),
                () -> {
                    simulation.failingWorkers.remove(id);
                    soundWorkers.add(id);
                });
    }

    /**
     * Changes the capacity of a worker.
     *
     * @param id the identifier of the worker
     */
    private void resize(String id) {
        soundWorkers.remove(id);
        long capacity = random.nextInt(2, 9) * 1_000L;
        simulation.workers.get(id).resize(new Resources(capacity, capacity, 0));
        during(
                random.nextInt(0, 3_000),
                () -> {
                    simulation.register(id, false);
                    soundWorkers.add(id);
                });
    }

    /**
     * Tells the oracle that an unplanned disruption begins, and ends it after a time.
     *
     * @param millis how long it lasts, in milliseconds
     * @param end ends it
     */
    private void during(int millis, Runnable end) {
        during(false, millis, end);
    }

    /**
     * Tells the oracle that a disruption begins, and ends it after a time.
     *
     * @param planned whether it is planned work
     * @param millis how long it lasts, in milliseconds
     * @param end ends it
     */
    private void during(boolean planned, int millis, Runnable end) {
        oracle.beginDisruption(planned);
        simulation.runtime.schedule(
                millis,
                () -> {
                    end.run();
                    oracle.endDisruption(planned);
                });
    }
}
