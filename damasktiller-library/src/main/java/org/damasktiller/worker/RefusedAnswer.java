package org.damasktiller.worker;

/**
 * Answers a command that was refused as a whole and changed nothing.
 *
 * @param stamp the moment of the answer
 * @param reason why the command was refused
 * @param generation the highest generation that the worker saw
 */
public record RefusedAnswer(WorkerStamp stamp, RefusalReason reason, long generation)
        implements WorkerAnswer {}
