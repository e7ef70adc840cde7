package org.damasktiller.decision.health;

import java.util.HashSet;
import java.util.Set;
import org.damasktiller.identity.JobId;

/** Holds what is remembered of the results of one worker. */
final class WorkerRecord {

    /** How much work the worker may receive. */
    WorkerStanding standing = WorkerStanding.GOOD;

    /** The jobs that failed since the last success. */
    final Set<JobId> failed = new HashSet<>();

    /** The weight of these failures; one of a kind that fails everywhere weighs little. */
    double suspicion;

    /** When the probation ends, in milliseconds. */
    long probationEndMillis;

    /** The length of the last probation, in milliseconds, zero if there was none. */
    long probationMillis;

    /** The jobs that succeeded in the present trial. */
    int trialSuccesses;

    /** Creates the record of a worker without results. */
    WorkerRecord() {}
}
