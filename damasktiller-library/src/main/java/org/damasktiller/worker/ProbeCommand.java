package org.damasktiller.worker;

/** Asks a worker for its stamp and its capacity; changes nothing. */
public record ProbeCommand() implements WorkerCommand {}
