/** Authority over work: who may start what, and what was accepted. */
@NullMarked
package org.damasktiller.authority;

import org.jspecify.annotations.NullMarked;
