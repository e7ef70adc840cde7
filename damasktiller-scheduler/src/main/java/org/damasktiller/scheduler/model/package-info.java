/** Data types of submissions, tasks, runs, workers and the operator's manifest. */
@NullMarked
package org.damasktiller.scheduler.model;

import org.jspecify.annotations.NullMarked;
