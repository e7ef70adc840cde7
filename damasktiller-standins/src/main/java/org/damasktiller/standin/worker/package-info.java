/** Stand-in workers without I/O, and the observer that checks what ran on them. */
@NullMarked
package org.damasktiller.standin.worker;

import org.jspecify.annotations.NullMarked;
