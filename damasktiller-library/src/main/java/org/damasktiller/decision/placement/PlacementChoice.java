package org.damasktiller.decision.placement;

import java.util.Optional;
import org.damasktiller.identity.WorkerId;

/**
 * Holds the result of a choice.
 *
 * @param worker the worker, or empty if none was chosen
 * @param roomFound whether a worker with room was found, also if its cost was infinite
 */
public record PlacementChoice(Optional<WorkerId> worker, boolean roomFound) {}
