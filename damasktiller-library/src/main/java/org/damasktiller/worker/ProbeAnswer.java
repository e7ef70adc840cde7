package org.damasktiller.worker;

import org.damasktiller.resource.Resources;

/**
 * Answers a probe.
 *
 * @param stamp the moment of the answer
 * @param capacity the amounts that the worker has in total
 */
public record ProbeAnswer(WorkerStamp stamp, Resources capacity) implements WorkerAnswer {}
