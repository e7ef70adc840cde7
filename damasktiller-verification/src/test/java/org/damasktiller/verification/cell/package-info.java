/** Tests of the owner of a cell against the stand-ins. */
@NullMarked
package org.damasktiller.verification.cell;

import org.jspecify.annotations.NullMarked;
