package org.damasktiller.scheduler.order;

import java.util.Comparator;

/** Decides which of two waiting steps gets a worker first. */
@FunctionalInterface
public interface WaitingOrder extends Comparator<OrderKey> {}
