/** Fault-injection tests of cell owners against a simulated store and simulated workers. */
@NullMarked
package org.damasktiller.verification.owner;

import org.jspecify.annotations.NullMarked;
