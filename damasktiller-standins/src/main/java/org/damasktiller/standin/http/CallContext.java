package org.damasktiller.standin.http;

import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;

/**
 * Describes a call to a peer for its errors and its deadline.
 *
 * @param step the step that the call takes
 * @param peer the peer
 * @param failureCode the code of the error if no answer comes
 * @param timeoutMillis how long to wait for the answer, in milliseconds
 */
public record CallContext(Step step, String peer, ErrorCode failureCode, long timeoutMillis) {}
