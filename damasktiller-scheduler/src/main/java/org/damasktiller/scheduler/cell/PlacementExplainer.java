package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.jspecify.annotations.Nullable;

/** Explains where a task would start now, and why, without starting or storing anything. */
final class PlacementExplainer {

    /** The identifier of the submission that stands for the task; it is never admitted. */
    private static final String SAMPLE_ID = "0000000000000000";

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Selects workers. */
    private final WorkerSelector workerSelector;

    /**
     * Creates an explainer.
     *
     * @param context the shared state of the cell's owner
     * @param workerSelector selects workers
     */
    PlacementExplainer(CellContext context, WorkerSelector workerSelector) {
        this.context = context;
        this.workerSelector = workerSelector;
    }

    /**
     * Explains where the first task of a step would start if it arrived now.
     *
     * @param route the route of the submission
     * @param spec the step
     * @return the state on which the decision rests with its age, the number of workers for each
     *     rule, and the worker that would be chosen, one line each
     */
    List<String> explain(Route route, StepSpec spec) {
        Submission submission = new Submission(SAMPLE_ID, "", List.of(spec), 0, 0, 0);
        Job job =
                new Job(
                        new AcceptedSubmission(
                                submission,
                                route.name(),
                                route.service(),
                                context.runtime.unixMillis(),
                                QueueTerms.of(route, context.manifest().version())),
                        0,
                        context.now());
        TaskRecord task = job.beginOccurrence(0).steps.get(0).view(0);
        List<String> lines = new ArrayList<>();
        lines.add(
                "cell %s, generation %d: %d workers, entries confirmed %d ms ago, %d steps waiting"
                        .formatted(
                                context.cell,
                                context.term.generation(),
                                context.workers.size(),
                                context.now() - context.workerEntriesReadAtMillis.getAsLong(),
                                context.waitingSteps));
        workerSelector
                .countVerdicts(task)
                .forEach((verdict, count) -> lines.add("  " + count + " " + verdict.text()));
        lines.add(describeChoice(workerSelector.selectWorker(task)));
        return lines;
    }

    /**
     * Describes the choice of a worker.
     *
     * @param worker the worker that would be chosen, or null if none would
     * @return the description, one line
     */
    private static String describeChoice(@Nullable WorkerRecord worker) {
        if (worker == null) {
            return "would wait: no worker may start it now";
        }
        return "would start on %s in zone %s, which has %s free and %d runs"
                .formatted(
                        worker.id, worker.entry.zone(), worker.freeResources(), worker.runs.size());
    }
}
