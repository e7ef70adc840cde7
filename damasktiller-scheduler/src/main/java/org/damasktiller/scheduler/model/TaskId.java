package org.damasktiller.scheduler.model;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Names a task of a submission.
 *
 * @param submission the submission's identifier
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task in its step, from 0
 */
public record TaskId(String submission, int occurrence, int step, int index) {

    /** The written form: the four parts joined by dots. */
    private static final Pattern FORM =
            Pattern.compile("([^.]+)\\.(\\d{1,9})\\.(\\d{1,9})\\.(\\d{1,9})");

    /** The group of the step. */
    private static final int STEP_GROUP = 3;

    /** The group of the index. */
    private static final int INDEX_GROUP = 4;

    /**
     * Reads the written form.
     *
     * @param text the text
     * @return the name, or null if the text is no such name
     */
    public static @Nullable TaskId parse(String text) {
        Matcher matcher = FORM.matcher(text);
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
