package org.damasktiller.lab.command;

import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;

/** Lists the exit codes of the command line. */
public enum ExitCode {
    /** The command did what was asked. */
    SUCCESS(0),
    /** The command failed; nothing is known to have changed. */
    FAILURE(1),
    /** The command line or a setting is wrong; nothing was changed. */
    USAGE(2),
    /** The request was refused and was not run. */
    NOT_RUN(3),
    /** It is not known whether the request took effect. */
    OUTCOME_UNKNOWN(4),
    /** Some accepted work is not accounted for. */
    UNACCOUNTED(5);

    /** The number given to the operating system. */
    private final int number;

    /**
     * Creates an exit code.
     *
     * @param number the number
     */
    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number given to the operating system.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns the exit code for an error.
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
