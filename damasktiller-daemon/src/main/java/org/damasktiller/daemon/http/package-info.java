/** HTTP listeners with limits, for callers and operators. */
@NullMarked
package org.damasktiller.daemon.http;

import org.jspecify.annotations.NullMarked;
