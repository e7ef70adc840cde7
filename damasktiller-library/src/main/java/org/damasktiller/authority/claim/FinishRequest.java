package org.damasktiller.authority.claim;

import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * Tells the caller how the request ended; the request takes this action once.
 *
 * @param outcome whether the request was run
 * @param code why it failed, or null if the endpoint's answer is to be passed on
 */
public record FinishRequest(Outcome outcome, @Nullable ErrorCode code) implements ForwarderAction {}
