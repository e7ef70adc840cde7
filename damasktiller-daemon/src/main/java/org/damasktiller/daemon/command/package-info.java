/** The commands of the command line and their exit codes. */
@NullMarked
package org.damasktiller.daemon.command;

import org.jspecify.annotations.NullMarked;
