/** The command line. */
@NullMarked
package org.damasktiller.lab.command;

import org.jspecify.annotations.NullMarked;
