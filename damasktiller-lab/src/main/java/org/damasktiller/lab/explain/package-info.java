/** Explains the life of a submission from logs. */
@NullMarked
package org.damasktiller.lab.explain;

import org.jspecify.annotations.NullMarked;
