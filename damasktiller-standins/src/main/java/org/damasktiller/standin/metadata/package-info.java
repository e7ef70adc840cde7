/** A stand-in of the platform's store, in memory. */
@NullMarked
package org.damasktiller.standin.metadata;

import org.jspecify.annotations.NullMarked;
