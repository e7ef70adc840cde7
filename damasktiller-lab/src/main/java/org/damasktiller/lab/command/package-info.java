/** The commands of the {@code damasktiller} program and the parsing of their arguments. */
@NullMarked
package org.damasktiller.lab.command;

import org.jspecify.annotations.NullMarked;
