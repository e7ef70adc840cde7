package org.damasktiller.daemon.operator;

/**
 * Asks for a table in place of an earlier version.
 *
 * @param editId the identity of the edit, kept over all retries
 * @param operator the name of the operator
 * @param baseVersion the version from which the operator started
 * @param csv the wanted table as CSV
 */
public record TablePutBody(String editId, String operator, long baseVersion, String csv) {}
