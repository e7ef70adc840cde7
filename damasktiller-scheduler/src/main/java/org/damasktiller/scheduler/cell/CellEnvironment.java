package org.damasktiller.scheduler.cell;

import java.util.Set;
import java.util.TreeSet;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.port.AdviceClient;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.PlatformRecordDecoder;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.WorkerClient;

/**
 * The ports, settings and manifest that a node passes to the owner of a cell.
 *
 * @param settings the intervals and limits
 * @param store the metadata store
 * @param workerClient sends requests to workers
 * @param adviceClient sends requests to the advice service
 * @param formats decodes the records that the platform keeps in the store
 * @param runtime the clock and the timers
 * @param log the log of scheduling decisions
 * @param manifest the manifest in effect when the term starts
 * @param siblingCells the names of the other cells of the service
 */
public record CellEnvironment(
        CellSettings settings,
        MetadataStore store,
        WorkerClient workerClient,
        AdviceClient adviceClient,
        PlatformRecordDecoder formats,
        ProcessRuntime runtime,
        DecisionLog log,
        Manifest manifest,
        Set<String> siblingCells) {

    /** Copies the names, sorted. */
    public CellEnvironment {
        siblingCells = new TreeSet<>(siblingCells);
    }
}
