package org.damasktiller.scheduler.cell;

/** Counts the runs of a worker, and sums up the CPU that they reserve, by kind. */
final class RunSums {

    /** The number of runs that reserve an unknown amount of resources. */
    private int unsizedRuns;

    /** The number of runs whose worker gets no other starts. */
    private int aloneRuns;

    /** The number of runs whose worker gets only starts of tasks that may share it. */
    private int sharedRuns;

    /** The CPU that the runs of serving tasks reserve, in millicores. */
    private long servingMillicores;

    /** The CPU that the runs of long-running tasks reserve, in millicores. */
    private long longRunningMillicores;

    /** The CPU that the fillers request, in millicores. */
    private long fillerMillicores;

    /** Creates the sums over no runs. */
    RunSums() {}

    /**
     * Adds a run.
     *
     * @param record the run
     */
    void add(RunRecord record) {
        addTimes(record, 1);
        addToQuarantine(record.quarantine, 1);
    }

    /**
     * Takes a run out.
     *
     * @param record a run that was added
     */
    void remove(RunRecord record) {
        addTimes(record, -1);
        endQuarantine(record);
    }

    /**
     * Records that a run is not likely to crash the worker, or is over.
     *
     * @param record a run that was added
     */
    void endQuarantine(RunRecord record) {
        addToQuarantine(record.quarantine, -1);
        record.quarantine = Quarantine.NONE;
    }

    /**
     * Returns how many runs reserve an unknown amount of resources.
     *
     * @return the number of runs
     */
    int unsizedRuns() {
        return unsizedRuns;
    }

    /**
     * Returns which other starts the worker gets.
     *
     * @return the strictest quarantine of a run
     */
    Quarantine quarantine() {
        if (aloneRuns > 0) {
            return Quarantine.ALONE;
        }
        return sharedRuns > 0 ? Quarantine.SHARED : Quarantine.NONE;
    }

    /**
     * Counts a run by its quarantine.
     *
     * @param quarantine the quarantine of the run
     * @param times 1 to add the run, -1 to take it out
     */
    private void addToQuarantine(Quarantine quarantine, int times) {
        aloneRuns += quarantine == Quarantine.ALONE ? times : 0;
        sharedRuns += quarantine == Quarantine.SHARED ? times : 0;
    }

    /**
     * Returns the CPU that serving tasks reserve.
     *
     * @return the CPU, in millicores
     */
    long servingMillicores() {
        return servingMillicores;
    }

    /**
     * Returns the CPU that long-running tasks reserve.
     *
     * @return the CPU, in millicores
     */
    long longRunningMillicores() {
        return longRunningMillicores;
    }

    /**
     * Returns the CPU that the fillers request.
     *
     * @return the CPU, in millicores
     */
    long fillerMillicores() {
        return fillerMillicores;
    }

    /**
     * Adds a run to the sums some times.
     *
     * @param record the run
     * @param times 1 to add the run, -1 to take it out
     */
    private void addTimes(RunRecord record, int times) {
        unsizedRuns += record.sizeUnknown ? times : 0;
        if (record.isServing()) {
            servingMillicores += times * record.reserved.cpuMillicores();
        }
        if (record.isLongRunning()) {
            longRunningMillicores += times * record.reserved.cpuMillicores();
        }
        if (record.isFiller() && record.task != null) {
            fillerMillicores += times * record.task.step.spec.need().cpuMillicores();
        }
    }
}
