/** The data of submissions, workers and the manifest in the terms of this project. */
@NullMarked
package org.damasktiller.scheduler.model;

import org.jspecify.annotations.NullMarked;
