package org.damasktiller.worker;

/**
 * Raises the generation of the worker; the answer is the inventory.
 *
 * @param permit the authority of the sender
 */
public record FenceCommand(Permit permit) implements FencedCommand {}
