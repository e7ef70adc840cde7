package org.damasktiller.worker;

import org.damasktiller.identity.KindName;
import org.damasktiller.resource.Resources;

/**
 * Describes what a worker has to run.
 *
 * @param kind the kind of work
 * @param resources the amounts reserved on the worker
 * @param runTimeMillis the declared run time, in milliseconds, a hint
 * @param payload the input of the task, opaque to the system
 */
public record TaskSpec(KindName kind, Resources resources, long runTimeMillis, String payload) {}
