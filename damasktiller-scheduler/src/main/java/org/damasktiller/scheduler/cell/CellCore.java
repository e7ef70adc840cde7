package org.damasktiller.scheduler.cell;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.WorkerClient;

/** What the parts of a cell's owner share: the tables, the ports and the term. */
final class CellCore {

    /** The name of the cell. */
    final String cell;

    /** The term of the owner. */
    final CellTerm term;

    /** The settings. */
    final CellSettings settings;

    /** The store. */
    final MetadataStore store;

    /** The calls to workers. */
    final WorkerClient calls;

    /** The clock and the timers. */
    final ProcessRuntime runtime;

    /** The log. */
    final DecisionLog log;

    /** Computes leases. */
    final LeaseClock leases;

    /** The open submissions, by identifier. */
    final Map<String, Job> jobs = new LinkedHashMap<>();

    /** The workers, by identifier. */
    final Map<String, WorkerRecord> workers = new LinkedHashMap<>();

    /** The manifest in force. */
    Manifest manifest;

    /** Whether the term has ended. */
    boolean over;

    /** The workers that may run something for former owners and have not been settled. */
    final Set<String> unsettled = new TreeSet<>();

    /** Whether every worker that may run something for former owners has been settled. */
    boolean settled;

    /**
     * The submissions that this owner has closed; a listing of the store that was on its way may
     * still show them.
     */
    private final Set<String> closed = new HashSet<>();

    /** Told once when the term ends. */
    private final Consumer<String> ended;

    /**
     * Creates the shared part.
     *
     * @param environment the ports and settings
     * @param cell the name of the cell
     * @param term the term
     * @param ended told why the term ended
     */
    CellCore(CellEnvironment environment, String cell, CellTerm term, Consumer<String> ended) {
        this.cell = cell;
        this.term = term;
        this.settings = environment.settings();
        this.store = environment.store();
        this.calls = environment.calls();
        this.runtime = environment.runtime();
        this.log = environment.log();
        this.manifest = environment.manifest();
        this.leases = new LeaseClock(settings);
        this.ended = ended;
    }

    /**
     * Ends the term: nothing is started, held, stopped or stored any more.
     *
     * @param reason why
     */
    void end(String reason) {
        if (!over) {
            over = true;
            log.log("owner.ended", "cell", cell, "generation", term.generation(), "reason", reason);
            ended.accept(reason);
        }
    }

    /**
     * Returns the time.
     *
     * @return the steady clock, in milliseconds
     */
    long now() {
        return runtime.nowMillis();
    }

    /**
     * Runs an action later unless the term has ended by then.
     *
     * @param delayMillis the delay, in milliseconds
     * @param action the action
     */
    void schedule(long delayMillis, Runnable action) {
        runtime.schedule(
                delayMillis,
                () -> {
                    if (!over) {
                        action.run();
                    }
                });
    }

    /**
     * Forgets a job that is over.
     *
     * @param job the job
     */
    void remove(Job job) {
        jobs.remove(job.id());
        closed.add(job.id());
    }

    /**
     * Tells whether a submission is known, open or closed.
     *
     * @param id the submission
     * @return whether it is
     */
    boolean known(String id) {
        return jobs.containsKey(id) || closed.contains(id);
    }

    /**
     * Returns the workers.
     *
     * @return the workers
     */
    Collection<WorkerRecord> allWorkers() {
        return workers.values();
    }
}
