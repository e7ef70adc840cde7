/** Ownership of a log by one process at a time. */
@NullMarked
package org.damasktiller.authority.ownership;

import org.jspecify.annotations.NullMarked;
