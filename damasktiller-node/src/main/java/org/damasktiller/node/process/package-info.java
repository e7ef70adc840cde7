/** The process of an entry VM: command line, startup, signal handling and shutdown. */
@NullMarked
package org.damasktiller.node.process;

import org.jspecify.annotations.NullMarked;
