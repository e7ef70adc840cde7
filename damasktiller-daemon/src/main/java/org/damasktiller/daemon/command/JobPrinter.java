package org.damasktiller.daemon.command;

import java.io.PrintStream;
import org.damasktiller.daemon.job.JobBody;

/** Prints the state of a job for a person. */
final class JobPrinter {

    /** Prevents instantiation. */
    private JobPrinter() {}

    /**
     * Prints the state of a job.
     *
     * @param output where it goes
     * @param job the job
     */
    static void print(PrintStream output, JobBody job) {
        output.println("job       " + job.job());
        output.println("key       " + job.key());
        output.println("state     " + job.state() + (job.running() ? " (running)" : ""));
        output.println("outcome   " + (job.outcome() == null ? "-" : job.outcome()));
        output.println("worker    " + job.worker() + ", attempt " + job.attempt());
        if (!job.result().isEmpty()) {
            output.println("result    " + job.result());
        }
    }
}
