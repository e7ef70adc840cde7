package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.resource.Resources;

/** Runs tasks by a hidden model of usage and interference. */
final class FakeWorker {

    /** How long a task takes to start, in seconds. */
    private static final int START_SECONDS = 3;

    /** The part of the interference that is there at low load. */
    private static final double LOW_LOAD_PART = 0.3;

    /** The description of the worker. */
    final WorkerSpec spec;

    /** The number of its zone. */
    final int zone;

    /** The batch and urgent tasks. */
    final Map<JobId, FakeTask> tasks = new LinkedHashMap<>();

    /** The instances of services. */
    final List<FakeService> services = new ArrayList<>();

    /** Whether the worker fails every task. */
    boolean failing;

    /** The hidden kinds. */
    private final World world;

    /** The load of each kind in the last second, as a part of the worker's processors. */
    private final double[] loads = new double[World.KINDS];

    /** The part of the processors used in the last second. */
    private double utilisation;

    /**
     * Creates an empty worker.
     *
     * @param spec the description
     * @param zone the number of its zone
     * @param world the hidden kinds
     */
    FakeWorker(WorkerSpec spec, int zone, World world) {
        this.spec = spec;
        this.zone = zone;
        this.world = world;
    }

    /**
     * Runs for one second.
     *
     * @return the processor seconds of real progress by batch tasks
     */
    double advance() {
        double whole = spec.capacity().milliProcessors();
        double forServices = services.stream().mapToDouble(FakeService::used).sum();
        double wanted = 0;
        for (FakeTask task : tasks.values()) {
            double most = task.reserved.milliProcessors();
            task.used = Math.min(task.processorsWanted(), most);
            wanted += task.used;
        }
        double squeeze = wanted == 0 ? 1 : Math.min(1, Math.max(0, whole - forServices) / wanted);
        Arrays.fill(loads, 0);
        for (FakeTask task : tasks.values()) {
            task.used *= squeeze;
            loads[task.kind] += task.used / whole;
        }
        utilisation = Math.min(1, (forServices + wanted * squeeze) / whole);
        services.forEach(service -> service.slowdown = slowdown(service.kind));
        double done = 0;
        for (FakeTask task : tasks.values()) {
            done += advance(task);
        }
        return done;
    }

    /**
     * Returns the part of the processors used in the last second.
     *
     * @return the part, from 0 to 1
     */
    double utilisation() {
        return utilisation;
    }

    /**
     * Returns the sum of all reservations.
     *
     * @return the sum
     */
    Resources reserved() {
        Resources sum = Resources.NONE;
        for (FakeTask task : tasks.values()) {
            sum = sum.plus(task.reserved);
        }
        for (FakeService service : services) {
            sum = sum.plus(service.reserved);
        }
        return sum;
    }

    /**
     * Lets one task progress for a second.
     *
     * @param task the task
     * @return the processor seconds of real progress
     */
    private double advance(FakeTask task) {
        double processors = task.used / task.processorsWanted();
        task.attemptSeconds++;
        if (task.attemptSeconds <= START_SECONDS || failing || task.poisoned) {
            return 0;
        }
        double memory = Math.min(1, task.reserved.memoryMegabytes() / task.memoryNeeded());
        double rate = processors * memory * memory / slowdown(task.kind);
        double before = task.progress;
        task.progress = Math.min(task.totalSeconds, before + rate);
        double interval = world.kind(task.kind).checkpointSeconds();
        if (task.progress - task.checkpoint >= interval) {
            task.checkpoint = task.progress;
        }
        return (task.progress - before) * task.size.milliProcessors() / 1000;
    }

    /**
     * Returns the slowdown of a kind by what ran in the last second.
     *
     * @param victim the position of the kind
     * @return the slowdown, at least 1
     */
    private double slowdown(int victim) {
        double sum = 0;
        for (int kind = 0; kind < loads.length; kind++) {
            sum += world.harm(victim, kind) * loads[kind];
        }
        double part = LOW_LOAD_PART + (1 - LOW_LOAD_PART) * utilisation * utilisation;
        return 1 + sum * part;
    }
}
