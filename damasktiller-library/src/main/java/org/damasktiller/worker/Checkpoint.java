package org.damasktiller.worker;

/**
 * Holds what a worker needs to continue a stopped task.
 *
 * @param data a reference or a small state, opaque to the system
 */
public record Checkpoint(String data) {}
