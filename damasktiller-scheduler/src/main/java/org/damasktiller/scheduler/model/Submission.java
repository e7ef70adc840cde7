package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * A caller's request to run steps, either once and immediately or repeatedly on a schedule. Stored
 * as JSON under the names of the components.
 *
 * @param id the identifier chosen by the caller, 16 hexadecimal digits
 * @param payload the text passed to each task, at most 4,000 bytes
 * @param steps the steps, numbered from 0 in this order
 * @param firstDueUnixMillis when the first occurrence is due, in milliseconds since 1970, or 0 if
 *     the submission has no schedule
 * @param occurrences the number of times that the steps run on a schedule, or 0 to run them once
 *     and immediately
 * @param intervalMillis the time between two consecutive occurrences, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Submission(
        String id,
        String payload,
        @JsonInclude(JsonInclude.Include.ALWAYS) List<StepSpec> steps,
        long firstDueUnixMillis,
        int occurrences,
        long intervalMillis) {

    /** Sets the default of a payload that a stored record omits, and copies the steps. */
    @SuppressWarnings("ConstantConditions")
    public Submission {
        payload = payload == null ? "" : payload;
        steps = List.copyOf(steps);
    }

    /**
     * Returns whether the steps run on a schedule.
     *
     * @return true if the submission has a schedule, false if it runs once and immediately
     */
    public boolean scheduled() {
        return occurrences > 0;
    }

    /**
     * Returns when an occurrence on a schedule is due.
     *
     * @param number the number of the occurrence, from 0
     * @return the time, in milliseconds since 1970
     */
    public long dueUnixMillis(int number) {
        return firstDueUnixMillis + number * intervalMillis;
    }

    /**
     * Returns whether any step is long-running, so that the submission runs until it is cancelled.
     *
     * @return true if at least one step is long-running
     */
    public boolean hasLongRunningStep() {
        return steps.stream().anyMatch(StepSpec::lasting);
    }
}
