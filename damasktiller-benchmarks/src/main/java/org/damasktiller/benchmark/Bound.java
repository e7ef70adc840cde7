package org.damasktiller.benchmark;

/** Tells on which side of its target a figure has to lie. */
public enum Bound {
    /** The figure must not be above the target. */
    AT_MOST,
    /** The figure must not be below the target. */
    AT_LEAST
}
