package org.damasktiller.benchmark.decisions;

import java.util.Locale;

/** Lists the scenarios; each begins quietly and changes after a third of the run. */
public enum Scenario {
    /** The load of the services grows tenfold within one minute. */
    MORNING_BURST,
    /** Kinds of work never seen before arrive and the load of the services doubles. */
    MERGER_CUT_OVER,
    /** Batch arrivals triple and urgent jobs come five times as often, until the end. */
    AFTERSHOCK_WEEKS,
    /** Very noisy tasks arrive for five minutes. */
    NOISY_WAVE,
    /** Sizes and run times are declared 0.1 to 10 times wrong. */
    WRONG_DECLARATIONS,
    /** One worker fails every task after a second. */
    BLACK_HOLE_WORKER,
    /** 50,000 jobs are submitted at once and cancelled a minute later. */
    CANCELLATION_WAVE,
    /** The load of the services moves to another zone, and the mix of batch kinds is reversed. */
    LOAD_SHIFT;

    /**
     * Returns the name on the command line.
     *
     * @return the name in lower case with hyphens
     */
    public String commandName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
