/** Callers that do not behave: requests that stop, trickle or exceed the limits, many at once. */
@NullMarked
package org.damasktiller.lab.crowd;

import org.jspecify.annotations.NullMarked;
