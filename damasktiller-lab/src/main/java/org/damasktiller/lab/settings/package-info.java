/** Reads settings from flags and environment variables. */
@NullMarked
package org.damasktiller.lab.settings;

import org.jspecify.annotations.NullMarked;
