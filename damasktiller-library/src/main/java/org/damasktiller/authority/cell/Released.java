package org.damasktiller.authority.cell;

/** Reports that a drained owner has given its cell back, or has stopped acting for good. */
public record Released() implements CellAction {}
