/** Questions of operators about where a task would start now. */
@NullMarked
package org.damasktiller.node.placement;

import org.jspecify.annotations.NullMarked;
