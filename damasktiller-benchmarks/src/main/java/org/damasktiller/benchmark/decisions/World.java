package org.damasktiller.benchmark.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;

/** Draws the hidden kinds of work and how much each pair of them really disturb each other. */
final class World {

    /** The number of services. */
    static final int SERVICES = 2;

    /** The number of ordinary batch kinds. */
    static final int BATCH = 6;

    /** The position of the first batch kind. */
    static final int FIRST_BATCH = SERVICES;

    /** The position of the urgent kind. */
    static final int URGENT = FIRST_BATCH + BATCH;

    /** The position of the noisy kind. */
    static final int NOISY = URGENT + 1;

    /** The position of the first kind that appears late. */
    static final int FIRST_LATE = NOISY + 1;

    /** The number of kinds that appear late. */
    static final int LATE = 3;

    /** The number of all kinds. */
    static final int KINDS = FIRST_LATE + LATE;

    /** The part of a worker's processors that a service uses at its full load. */
    static final double SERVICE_PART = 0.4;

    /** The part of a worker's memory that a service uses. */
    private static final double SERVICE_MEMORY_PART = 0.2;

    /** The part of pairs that hardly disturb each other. */
    private static final double QUIET_PAIRS = 0.55;

    /** The part of pairs that disturb each other little or somewhat. */
    private static final double MODERATE_PAIRS = 0.85;

    /** The largest error of a declaration outside the scenario of wrong ones. */
    private static final double USUAL_ERROR = 2;

    /** The largest error of a declaration in the scenario of wrong ones. */
    private static final double LARGE_ERROR = 10;

    /** The thousandths of a processor, or the milliseconds of a second. */
    private static final long THOUSAND = 1000;

    /** The megabytes of an urgent job. */
    private static final long URGENT_MEGABYTES = 1500;

    /** The run time of an urgent job, in seconds. */
    private static final int URGENT_SECONDS = 20;

    /** The least megabytes for each processor of a batch job. */
    private static final double LEAST_MEMORY = 1500;

    /** The most megabytes for each processor of a batch job. */
    private static final double MOST_MEMORY = 3000;

    /** The shortest median run time of a batch kind, in seconds. */
    private static final double SHORTEST_RUN = 60;

    /** The longest median run time of a batch kind, in seconds. */
    private static final double LONGEST_RUN = 240;

    /** The shortest time between checkpoints, in seconds. */
    private static final double SHORTEST_CHECKPOINT = 20;

    /** The longest time between checkpoints, in seconds. */
    private static final double LONGEST_CHECKPOINT = 60;

    /** The largest slowdown of a batch kind. */
    private static final double BATCH_HARM = 0.3;

    /** The largest slowdown of a service by a kind that hardly disturbs it. */
    private static final double QUIET_HARM = 0.1;

    /** The least slowdown of a service by a kind that disturbs it somewhat. */
    private static final double MODERATE_HARM = 0.2;

    /** The range of slowdowns of a service by a kind that disturbs it somewhat. */
    private static final double MODERATE_RANGE = 0.6;

    /** The least slowdown of a service by a kind that disturbs it much. */
    private static final double LARGE_HARM = 1;

    /** The range of slowdowns of a service by a kind that disturbs it much. */
    private static final double LARGE_RANGE = 2;

    /** The largest part of a worker that is declared. */
    private static final double LARGEST_DECLARED_PART = 0.55;

    /** The kinds. */
    private final List<HiddenKind> kinds = new ArrayList<>();

    /** The slowdown of each kind by a whole worker's load of each other kind. */
    private final double[][] harm = new double[KINDS][KINDS];

    /** The deployment. */
    private final Deployment deployment;

    /** The largest error of a declaration. */
    private final double declarationError;

    /**
     * Draws a world.
     *
     * @param deployment the deployment
     * @param scenario the scenario
     * @param seed the seed
     */
    World(Deployment deployment, Scenario scenario, long seed) {
        this.deployment = deployment;
        boolean wrong = scenario == Scenario.WRONG_DECLARATIONS;
        declarationError = wrong ? LARGE_ERROR : USUAL_ERROR;
        SplittableRandom random = new SplittableRandom(seed);
        drawServices();
        for (int kind = 0; kind < BATCH; kind++) {
            kinds.add(drawBatch("batch-" + kind, kind, wrong, random));
        }
        kinds.add(drawUrgent());
        kinds.add(drawBatch("noisy", 1, wrong, random));
        for (int kind = 0; kind < LATE; kind++) {
            kinds.add(drawBatch("late-" + kind, kind, wrong, random));
        }
        drawHarm(random);
    }

    /**
     * Returns a kind.
     *
     * @param kind the position
     * @return the kind
     */
    HiddenKind kind(int kind) {
        return kinds.get(kind);
    }

    /**
     * Returns the slowdown of one kind by a whole worker's load of another.
     *
     * @param victim the position of the kind that is slowed down
     * @param aggressor the position of the other kind
     * @return the slowdown above one
     */
    double harm(int victim, int aggressor) {
        return harm[victim][aggressor];
    }

    /** Changes how the batch kinds disturb the services, as after a change of their programs. */
    void swapHarm() {
        for (int victim = 0; victim < SERVICES; victim++) {
            double first = harm[victim][FIRST_BATCH];
            harm[victim][FIRST_BATCH] = harm[victim][FIRST_BATCH + 1];
            harm[victim][FIRST_BATCH + 1] = first;
        }
    }

    /** Adds the services. */
    private void drawServices() {
        Resources whole = deployment.capacity();
        Resources size =
                new Resources(
                        Math.round(SERVICE_PART * whole.milliProcessors()),
                        Math.round(SERVICE_MEMORY_PART * whole.memoryMegabytes()),
                        0);
        for (int service = 0; service < SERVICES; service++) {
            KindOfWork row =
                    row("service-" + service)
                            .workClass(WorkClass.INTERACTIVE)
                            .declared(size)
                            .build();
            kinds.add(new HiddenKind(row, size, Double.MAX_VALUE, 1));
        }
    }

    /**
     * Draws the urgent kind, short and small.
     *
     * @return the kind
     */
    private HiddenKind drawUrgent() {
        Resources size = new Resources(THOUSAND, URGENT_MEGABYTES, 0);
        KindOfWork row =
                row("urgent")
                        .workClass(WorkClass.URGENT)
                        .declared(size)
                        .runTimeMillis(URGENT_SECONDS * THOUSAND)
                        .build();
        return new HiddenKind(row, size, URGENT_SECONDS, THOUSAND);
    }

    /**
     * Draws a batch kind.
     *
     * @param name its name
     * @param position the position among the batch kinds
     * @param wrong whether the first two kinds are declared as wrongly as possible
     * @param random the source of randomness
     * @return the kind
     */
    private HiddenKind drawBatch(
            String name, int position, boolean wrong, SplittableRandom random) {
        int processors = deployment.batchProcessors(position);
        long memory = Math.round(processors * random.nextDouble(LEAST_MEMORY, MOST_MEMORY));
        Resources size = new Resources(processors * THOUSAND, memory, 0);
        double error = error(random);
        if (wrong && position == 0) {
            error = 1 / LARGE_ERROR;
        }
        if (wrong && position == 1) {
            error = LARGE_ERROR;
        }
        double median = random.nextDouble(SHORTEST_RUN, LONGEST_RUN);
        KindOfWork row =
                row(name)
                        .weight(1 + position % 2)
                        .repeat(Repeat.RESUMABLE)
                        .declared(declare(size, error))
                        .runTimeMillis(Math.round(median * THOUSAND * error(random)))
                        .build();
        return new HiddenKind(
                row, size, median, random.nextDouble(SHORTEST_CHECKPOINT, LONGEST_CHECKPOINT));
    }

    /**
     * Draws how much each pair of kinds disturb each other.
     *
     * @param random the source of randomness
     */
    private void drawHarm(SplittableRandom random) {
        for (int victim = 0; victim < KINDS; victim++) {
            for (int aggressor = SERVICES; aggressor < KINDS; aggressor++) {
                double pair = random.nextDouble();
                double size = random.nextDouble();
                if (victim >= SERVICES) {
                    harm[victim][aggressor] = BATCH_HARM * size;
                } else if (aggressor == NOISY) {
                    harm[victim][aggressor] = LARGE_HARM + LARGE_RANGE * size;
                } else if (pair < QUIET_PAIRS) {
                    harm[victim][aggressor] = QUIET_HARM * size;
                } else if (pair < MODERATE_PAIRS) {
                    harm[victim][aggressor] = MODERATE_HARM + MODERATE_RANGE * size;
                } else {
                    harm[victim][aggressor] = LARGE_HARM + LARGE_RANGE * size;
                }
            }
        }
    }

    /**
     * Draws by how much a declaration is wrong.
     *
     * @param random the source of randomness
     * @return the factor
     */
    private double error(SplittableRandom random) {
        return Math.pow(declarationError, 2 * random.nextDouble() - 1);
    }

    /**
     * Returns a declared size, which no one would make larger than a service leaves of a worker.
     *
     * @param size the real size
     * @param error the factor by which the declaration is wrong
     * @return the declared size
     */
    private Resources declare(Resources size, double error) {
        Resources whole = deployment.capacity();
        double processors = LARGEST_DECLARED_PART * whole.milliProcessors();
        double memory = LARGEST_DECLARED_PART * whole.memoryMegabytes();
        return new Resources(
                Math.round(Math.min(processors, size.milliProcessors() * error)),
                Math.round(Math.min(memory, size.memoryMegabytes() * error)),
                0);
    }

    /**
     * Starts a row of the table.
     *
     * @param name the name of the kind
     * @return the builder
     */
    private static KindOfWork.Builder row(String name) {
        return KindOfWork.builder(new KindName(name), new TenantName("tenant-" + name));
    }
}
