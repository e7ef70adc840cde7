package org.damasktiller.authority.cell;

/** Something that happened to the owner of a cell. */
public sealed interface CellEvent
        permits Tick,
                StoreAnswered,
                StoreFailed,
                WorkerAnswered,
                WorkerFailed,
                WorkersListed,
                Submit,
                Cancel,
                Query,
                Evict,
                Throttle,
                Drain {}
