package org.damasktiller.scheduler.cell;

/**
 * The stored value that fixes how zones are divided into cells. It is written once, before the
 * first election, so that all processes have the same cells.
 *
 * @param maxZonesPerCell the most zones that a cell spans, at least 1
 */
public record LayoutRecord(int maxZonesPerCell) {}
