/** Callers that hand work in, follow it, and check what they were promised. */
@NullMarked
package org.damasktiller.lab.load;

import org.jspecify.annotations.NullMarked;
