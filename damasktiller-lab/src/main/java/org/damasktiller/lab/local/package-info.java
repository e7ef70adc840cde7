/** The main job on one machine: a mixed load from the rows of a table. */
@NullMarked
package org.damasktiller.lab.local;

import org.jspecify.annotations.NullMarked;
