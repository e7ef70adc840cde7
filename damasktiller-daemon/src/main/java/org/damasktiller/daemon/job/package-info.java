/** The callers' interface to batch jobs. */
@NullMarked
package org.damasktiller.daemon.job;

import org.jspecify.annotations.NullMarked;
