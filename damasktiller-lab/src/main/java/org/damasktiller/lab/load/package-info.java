/** Simulated callers that send submissions, and checks of the guarantees given to them. */
@NullMarked
package org.damasktiller.lab.load;

import org.jspecify.annotations.NullMarked;
