package org.damasktiller.daemon.operator;

/**
 * Asks for a change of one cell of the table.
 *
 * @param editId the identity of the edit, kept over all retries
 * @param operator the name of the operator
 * @param baseVersion the version from which the operator started, or zero for the one in force
 * @param kind the row
 * @param column the column
 * @param value the wanted text of the cell
 */
public record TableCellBody(
        String editId,
        String operator,
        long baseVersion,
        String kind,
        String column,
        String value) {}
