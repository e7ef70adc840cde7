/** Decisions under load, as parts without I/O; each package below holds one of them. */
@NullMarked
package org.damasktiller.decision;

import org.jspecify.annotations.NullMarked;
