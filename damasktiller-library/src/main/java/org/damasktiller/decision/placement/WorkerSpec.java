package org.damasktiller.decision.placement;

import org.damasktiller.identity.RackName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;

/**
 * Describes a worker.
 *
 * @param id the worker
 * @param zone its availability zone
 * @param rack its rack
 * @param capacity what it has
 */
public record WorkerSpec(WorkerId id, ZoneName zone, RackName rack, Resources capacity) {}
