/** Stand-ins of workers that run simulated tasks, with a check of what must never happen. */
@NullMarked
package org.damasktiller.standin.fleet;

import org.jspecify.annotations.NullMarked;
