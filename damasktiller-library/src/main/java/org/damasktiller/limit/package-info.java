/** Limits across availability zones, split into shares that each zone keeps to on its own. */
@NullMarked
package org.damasktiller.limit;

import org.jspecify.annotations.NullMarked;
