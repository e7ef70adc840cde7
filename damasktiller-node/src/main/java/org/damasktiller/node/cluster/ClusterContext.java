package org.damasktiller.node.cluster;

import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * The dependencies that all elections of a process share.
 *
 * @param store the store
 * @param session the lease under which the process writes its keys
 * @param view the keys that all processes publish
 * @param runtime the clock and the timers
 * @param log the log
 */
record ClusterContext(
        MetadataStore store,
        StoreSession session,
        ClusterView view,
        ProcessRuntime runtime,
        DecisionLog log) {}
