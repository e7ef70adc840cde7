package org.damasktiller.scheduler.port;

import java.net.InetSocketAddress;

/**
 * Identifies the worker that a call is sent to.
 *
 * @param id the identifier of the worker; a worker with another identifier refuses the call
 * @param address the address at which the worker accepts calls
 */
public record WorkerAddress(String id, InetSocketAddress address) {}
