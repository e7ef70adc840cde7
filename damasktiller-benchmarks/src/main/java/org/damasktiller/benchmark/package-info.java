/** Runs the measuring commands and prints their figures. */
@NullMarked
package org.damasktiller.benchmark;

import org.jspecify.annotations.NullMarked;
