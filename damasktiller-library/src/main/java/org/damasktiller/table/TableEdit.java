package org.damasktiller.table;

/**
 * Describes the change of the table that an operator requests, as the difference between two
 * tables.
 *
 * @param id the ID of the edit, the same for all retries
 * @param operator the name of the operator, recorded in the history
 * @param base the table that the operator edited
 * @param wanted the base with the operator's changes; its version is ignored
 */
public record TableEdit(EditId id, String operator, OperatorTable base, OperatorTable wanted) {}
