package org.damasktiller.table;

/**
 * Asks for a change of the table.
 *
 * @param id the identity of the edit
 * @param operator the name of the operator, for the history
 * @param base the table from which the operator started
 * @param wanted the table that the operator wants in place of the base
 */
public record TableEdit(EditId id, String operator, OperatorTable base, OperatorTable wanted) {}
