/** Failure tests of the owners of cells against stand-ins of the store and the workers. */
@NullMarked
package org.damasktiller.verification.owner;

import org.jspecify.annotations.NullMarked;
