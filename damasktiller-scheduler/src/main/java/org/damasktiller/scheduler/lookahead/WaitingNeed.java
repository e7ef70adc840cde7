package org.damasktiller.scheduler.lookahead;

import java.util.function.Predicate;
import org.damasktiller.scheduler.model.Resources;

/**
 * Tasks of one step that wait because no worker has room for one of them.
 *
 * @param step the name of the step
 * @param need the resources of each task
 * @param count the number of waiting tasks
 * @param waitedMillis how long the step has waited, in milliseconds
 * @param mayUse tells by its identifier whether a worker may run the tasks, apart from its room
 */
public record WaitingNeed(
        String step, Resources need, int count, long waitedMillis, Predicate<String> mayUse) {}
