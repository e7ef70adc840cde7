/** Generates odd inputs for decoders, and calls decoders with the stack of a deployed process. */
@NullMarked
package org.damasktiller.standin.fuzz;

import org.jspecify.annotations.NullMarked;
