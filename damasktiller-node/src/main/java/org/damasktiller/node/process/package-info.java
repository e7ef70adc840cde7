/** The process of an entry VM: command line, start, signals and stop. */
@NullMarked
package org.damasktiller.node.process;

import org.jspecify.annotations.NullMarked;
