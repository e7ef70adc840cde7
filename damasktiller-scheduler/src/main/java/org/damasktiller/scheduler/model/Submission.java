package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * What a caller asks to be run.
 *
 * @param id the caller's identifier, 16 hexadecimal digits
 * @param payload the text handed to every task, up to 4,000 bytes
 * @param steps the steps
 * @param firstDueUnixMillis when the first occurrence is due, in milliseconds since 1970, or zero
 * @param occurrences how many times the steps run on a schedule, zero for once and at once
 * @param intervalMillis the time between occurrences, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Submission(
        String id,
        String payload,
        List<StepSpec> steps,
        long firstDueUnixMillis,
        int occurrences,
        long intervalMillis) {

    /** Copies the steps. */
    @SuppressWarnings("ConstantConditions")
    public Submission {
        payload = payload == null ? "" : payload;
        steps = List.copyOf(steps);
    }

    /**
     * Tells whether the steps run on a schedule.
     *
     * @return whether they do
     */
    public boolean scheduled() {
        return occurrences > 0;
    }

    /**
     * Tells whether a step lasts until the submission is cancelled.
     *
     * @return whether one does
     */
    public boolean lasting() {
        return steps.stream().anyMatch(StepSpec::lasting);
    }
}
