/** HTTP of interactive calls: from callers to endpoints and back. */
@NullMarked
package org.damasktiller.daemon.gateway;

import org.jspecify.annotations.NullMarked;
