/** The exception type of the system, its error codes, and the operation and outcome it reports. */
@NullMarked
package org.damasktiller.error;

import org.jspecify.annotations.NullMarked;
