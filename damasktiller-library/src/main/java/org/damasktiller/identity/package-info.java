/** Typed names of the things the system schedules and schedules for. */
@NullMarked
package org.damasktiller.identity;

import org.jspecify.annotations.NullMarked;
