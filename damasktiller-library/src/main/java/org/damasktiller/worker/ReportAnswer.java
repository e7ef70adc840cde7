package org.damasktiller.worker;

/**
 * Answers a command that was carried out.
 *
 * @param stamp the moment of the answer
 * @param inventory every attempt that the worker knows of after the command
 * @param usage the latest usage that the worker has measured
 */
public record ReportAnswer(WorkerStamp stamp, Inventory inventory, UsageReport usage)
        implements WorkerAnswer {}
