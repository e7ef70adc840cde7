/** Stand-in of the platform's key-value service, as a state machine and as a client in memory. */
@NullMarked
package org.damasktiller.standin.store;

import org.jspecify.annotations.NullMarked;
