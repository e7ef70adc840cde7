/** Structured logs: one JSON line for each decision. */
@NullMarked
package org.damasktiller.node.log;

import org.jspecify.annotations.NullMarked;
