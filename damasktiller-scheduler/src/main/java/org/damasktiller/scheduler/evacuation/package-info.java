/** Decides which availability zones may get starts while operators evacuate zones. No I/O. */
@NullMarked
package org.damasktiller.scheduler.evacuation;

import org.jspecify.annotations.NullMarked;
