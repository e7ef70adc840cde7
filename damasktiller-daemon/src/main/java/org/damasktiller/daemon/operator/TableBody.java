package org.damasktiller.daemon.operator;

/**
 * Holds the JSON body that tells a table.
 *
 * @param version the version of the table
 * @param csv the table as CSV
 */
public record TableBody(long version, String csv) {}
