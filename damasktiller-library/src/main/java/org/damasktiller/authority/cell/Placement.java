package org.damasktiller.authority.cell;

import java.util.List;
import java.util.Optional;
import org.damasktiller.identity.WorkerId;

/** Chooses the worker to which a job is bound. */
public interface Placement {

    /**
     * Chooses a worker.
     *
     * @param submission the job
     * @param workers the workers that take new work, in the order of their names
     * @return one of the workers whose capacity fits the job, or empty if there is none
     */
    Optional<WorkerId> choose(JobSubmission submission, List<WorkerView> workers);
}
