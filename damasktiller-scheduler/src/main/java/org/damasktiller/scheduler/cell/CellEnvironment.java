package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.WorkerClient;

/**
 * What an owner works with.
 *
 * @param settings the settings
 * @param store the store
 * @param calls the calls to workers
 * @param advice the calls to the advice service
 * @param formats the platform's records
 * @param runtime the clock and the timers
 * @param log the log
 * @param manifest the manifest in force when the owner begins
 */
public record CellEnvironment(
        CellSettings settings,
        MetadataStore store,
        WorkerClient calls,
        AdviceClient advice,
        PlatformRecordDecoder formats,
        ProcessRuntime runtime,
        DecisionLog log,
        Manifest manifest) {}
