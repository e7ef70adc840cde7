/** Follows the ownership, the recovery and the commits of one log. */
@NullMarked
package org.damasktiller.authority.log;

import org.jspecify.annotations.NullMarked;
