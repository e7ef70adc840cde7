package org.damasktiller.scheduler.port;

import java.net.InetSocketAddress;

/**
 * Names a worker to a call.
 *
 * @param id the identifier that must answer
 * @param address where it takes orders
 */
public record WorkerAddress(String id, InetSocketAddress address) {}
