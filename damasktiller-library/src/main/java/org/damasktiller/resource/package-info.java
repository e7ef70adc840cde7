/** Amounts of processors, memory and accelerators. */
@NullMarked
package org.damasktiller.resource;

import org.jspecify.annotations.NullMarked;
