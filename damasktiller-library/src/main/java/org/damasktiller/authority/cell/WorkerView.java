package org.damasktiller.authority.cell;

import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/**
 * Shows a worker to the choice of a place.
 *
 * @param worker the worker
 * @param capacity what the worker has
 * @param reserved what running tasks hold
 * @param bound what all jobs bound to the worker want, the running ones included
 */
public record WorkerView(
        WorkerId worker, Resources capacity, Resources reserved, Resources bound) {}
