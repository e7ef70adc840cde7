/** What the scheduler needs from the store, the workers and the runtime. */
@NullMarked
package org.damasktiller.scheduler.port;

import org.jspecify.annotations.NullMarked;
