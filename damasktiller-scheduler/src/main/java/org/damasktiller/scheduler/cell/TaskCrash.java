package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.crash.CrashRole;

/**
 * The crash of a worker under a task.
 *
 * @param task the task
 * @param role how it is involved
 * @param counted whether it is suspect already and may be the cause, so that the crash counts as an
 *     unknown outcome as soon as the worker is lost
 */
record TaskCrash(TaskRecord task, CrashRole role, boolean counted) {}
