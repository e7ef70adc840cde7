/** Faults at every step of the owner of a cell, with the rules checked at the workers. */
@NullMarked
package org.damasktiller.verification.fault;

import org.jspecify.annotations.NullMarked;
