package org.damasktiller.authority.cell;

/**
 * The entry VM shuts down: new jobs are refused, what was accepted is committed, and the ownership
 * is given back. Ended by a {@link Released} action.
 */
public record Drain() implements CellEvent {}
