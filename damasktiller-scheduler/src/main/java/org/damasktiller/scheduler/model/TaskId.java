package org.damasktiller.scheduler.model;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Identifies a task of a submission. The text form is used in calls to workers and in the log.
 *
 * @param submission the identifier of the submission
 * @param occurrence the number of the scheduled occurrence, from 0
 * @param step the number of the step in the submission, from 0
 * @param index the number of the task in its step, from 0
 */
public record TaskId(String submission, int occurrence, int step, int index) {

    /** The text form: the four components separated by dots. */
    private static final Pattern TEXT_FORM =
            Pattern.compile("([^.]+)\\.(\\d{1,9})\\.(\\d{1,9})\\.(\\d{1,9})");

    /** The group of {@link #TEXT_FORM} that captures the step. */
    private static final int STEP_GROUP = 3;

    /** The group of {@link #TEXT_FORM} that captures the index. */
    private static final int INDEX_GROUP = 4;

    /**
     * Parses the text form.
     *
     * @param text the text form, as returned by {@link #toString}
     * @return the identifier, or null if the text does not have this form
     */
    public static @Nullable TaskId parse(String text) {
        Matcher matcher = TEXT_FORM.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        return new TaskId(
                matcher.group(1),
                Integer.parseInt(matcher.group(2)),
                Integer.parseInt(matcher.group(STEP_GROUP)),
                Integer.parseInt(matcher.group(INDEX_GROUP)));
    }

    @Override
    public String toString() {
        return submission + '.' + occurrence + '.' + step + '.' + index;
    }
}
