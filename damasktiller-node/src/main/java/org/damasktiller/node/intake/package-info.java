/**
 * Bounds what callers and peers can make a process hold: the heads and bodies of their requests and
 * their connections. Knows no submissions.
 */
@NullMarked
package org.damasktiller.node.intake;

import org.jspecify.annotations.NullMarked;
