package org.damasktiller.lab.command;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;

/** The exit codes of the {@code damasktiller} program. */
public enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The command failed; nothing is known to have changed. */
    FAILURE(1),
    /** An argument or a setting is invalid; nothing was changed. */
    USAGE(2),
    /** The request was not run and never will be. */
    NOT_RUN(3),
    /** It is unknown whether the request took effect. */
    OUTCOME_UNKNOWN(4),
    /** A local run or a soak did not finish or found a violated guarantee. */
    CHECK_FAILED(5);

    /** The exit status of the process. */
    private final int status;

    /**
     * Creates an exit code.
     *
     * @param status the exit status of the process
     */
    ExitCode(int status) {
        this.status = status;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the exit status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the exit code for the error that ended a command.
     *
     * @param failure the error
     * @return the exit code
     */
    public static ExitCode of(DamasktillerException failure) {
        if (failure.code() == ErrorCode.BAD_SETTING) {
            return USAGE;
        }
        return switch (failure.outcome()) {
            case NOT_RUN -> NOT_RUN;
            case OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
            case RUN -> FAILURE;
        };
    }
}
