package org.damasktiller.authority.cell;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;
import org.jspecify.annotations.Nullable;

/**
 * Holds a job record in the form in which it is stored: an array without names, enum constants by
 * ordinal. Fields may be added at the end only.
 *
 * @param key the request key
 * @param tenant the tenant
 * @param workClass the class of the work
 * @param repeat whether the job may be run again
 * @param kind the kind of work
 * @param milliProcessors the processors, in thousandths
 * @param memoryMegabytes the memory, in megabytes
 * @param accelerators the accelerators
 * @param runTimeMillis the declared run time, in milliseconds
 * @param payload the input
 * @param state the state
 * @param worker the worker
 * @param incarnation the worker's process
 * @param attempt the number of the attempt
 * @param checkpoint the checkpoint, or null
 * @param begun whether an earlier attempt may have begun
 * @param failures the failed attempts
 * @param result the result
 * @param changedMillis when the record was made, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "key",
    "tenant",
    "workClass",
    "repeat",
    "kind",
    "milliProcessors",
    "memoryMegabytes",
    "accelerators",
    "runTimeMillis",
    "payload",
    "state",
    "worker",
    "incarnation",
    "attempt",
    "checkpoint",
    "begun",
    "failures",
    "result",
    "changedMillis"
})
record EncodedJob(
        String key,
        String tenant,
        WorkClass workClass,
        Repeat repeat,
        String kind,
        long milliProcessors,
        long memoryMegabytes,
        int accelerators,
        long runTimeMillis,
        String payload,
        JobState state,
        String worker,
        String incarnation,
        int attempt,
        @Nullable String checkpoint,
        boolean begun,
        int failures,
        String result,
        long changedMillis) {}
