/** Reconstructs the course of a submission from the logs of the entry VMs. */
@NullMarked
package org.damasktiller.lab.explain;

import org.jspecify.annotations.NullMarked;
