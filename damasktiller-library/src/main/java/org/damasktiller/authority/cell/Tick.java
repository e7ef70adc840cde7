package org.damasktiller.authority.cell;

/** Time has passed. */
public record Tick() implements CellEvent {}
