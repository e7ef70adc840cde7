package org.damasktiller.daemon.drive;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.reactor.Reactor;
import java.util.concurrent.Executor;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.worker.WorkerClient;

/**
 * Holds what the owners of cells and claim shards need from their entry VM.
 *
 * @param reactor the reactor that does the I/O
 * @param decisionPool the threads on which decisions are taken
 * @param clock the clock, safe for use by several threads
 * @param store the key-value service
 * @param workers the workers
 */
public record OwnerEnvironment(
        Reactor reactor,
        Executor decisionPool,
        CurrentTimeProvider clock,
        KeyValueStore store,
        WorkerClient workers) {}
