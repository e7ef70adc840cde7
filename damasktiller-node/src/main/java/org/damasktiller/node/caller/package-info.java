/** The HTTP interface for callers: submissions, state queries and cancellations. */
@NullMarked
package org.damasktiller.node.caller;

import org.jspecify.annotations.NullMarked;
