/**
 * A run of a deployment on the local machine, with a load generated from the rows of an operators'
 * table.
 */
@NullMarked
package org.damasktiller.lab.local;

import org.jspecify.annotations.NullMarked;
