package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.order.OrderKey;

/**
 * A step with waiting tasks.
 *
 * @param step the step
 * @param key what its place in the order depends on
 */
record WaitingStep(StepRecord step, OrderKey key) {}
