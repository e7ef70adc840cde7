/**
 * Routing of interactive requests to endpoints: choice, limits, retries and shares, without I/O.
 */
@NullMarked
package org.damasktiller.routing;

import org.jspecify.annotations.NullMarked;
