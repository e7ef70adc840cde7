package org.damasktiller.worker;

/**
 * Marks a moment on the clock of one worker process. A command echoes the latest stamp known to its
 * sender, so that the worker can tell how old the sender's knowledge is.
 *
 * @param incarnation a text that differs each time the worker starts with an empty memory
 * @param millis the worker's own time, in milliseconds
 */
public record WorkerStamp(String incarnation, long millis) {}
