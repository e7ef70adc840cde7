package org.damasktiller.worker;

import org.damasktiller.resource.Resources;

/**
 * Reports what one attempt used.
 *
 * @param attempt the attempt
 * @param used the amounts in use when the usage was measured
 */
public record TaskUsage(AttemptId attempt, Resources used) {}
