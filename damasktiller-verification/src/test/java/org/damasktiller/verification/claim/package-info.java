/** Failure tests of the claims of at-most-once requests. */
@NullMarked
package org.damasktiller.verification.claim;

import org.jspecify.annotations.NullMarked;
