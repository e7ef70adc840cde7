package org.damasktiller.authority.cell;

/** Something that the owner of a cell asks its driver to do. */
public sealed interface CellAction
        permits StoreRequest, WorkerRequest, Reply, JobChanged, UsageObserved, Released {}
