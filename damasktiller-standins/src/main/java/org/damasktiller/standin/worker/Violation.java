package org.damasktiller.standin.worker;

/**
 * Reports a broken rule.
 *
 * @param kind the rule
 * @param detail what was seen
 */
public record Violation(ViolationKind kind, String detail) {}
