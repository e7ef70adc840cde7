package org.damasktiller.benchmark.decisions;

/** Gives the load of the services and the arrivals of a scenario over time. */
final class Profile {

    /** The ordinary load of a service, as a part of its full load. */
    private static final double USUAL_LOAD = 0.25;

    /** The load before the morning burst. */
    private static final double NIGHT_LOAD = 0.08;

    /** The highest load of a service. */
    private static final double HIGHEST_LOAD = 0.85;

    /** The part of the run after which the change comes. */
    private static final double CHANGE_PART = 1.0 / 3;

    /** How long the burst and the noisy wave last, in seconds. */
    private static final double WAVE_SECONDS = 300;

    /** The seconds of a minute. */
    private static final double MINUTE = 60;

    /** The offered batch work in relation to the processors that the services leave. */
    private static final double OFFERED = 1.15;

    /** By which part the load of a service swings. */
    private static final double SWING = 0.2;

    /** By which part the load grows in the weeks after an earthquake. */
    private static final double AFTERSHOCK_GROWTH = 0.8;

    /** The load of the first zone after the shift, in relation to before. */
    private static final double SHIFTED_LOAD = 0.4;

    /** The offered work of a noisy wave in relation to the fleet. */
    private static final double NOISY_OFFERED = 0.5;

    /** By which part the arrivals of the first and last batch kind differ from the mean. */
    private static final double TILT = 0.6;

    /** The growth of batch arrivals after an earthquake. */
    private static final double AFTERSHOCK_BATCH = 3;

    /** The ordinary urgent jobs a second. */
    private static final double URGENT_RATE = 0.2;

    /** The scenario. */
    private final Scenario scenario;

    /** When the change comes, in seconds. */
    private final double change;

    /**
     * Creates the profile of a run.
     *
     * @param scenario the scenario
     * @param seconds the length of the run, in seconds
     */
    Profile(Scenario scenario, int seconds) {
        this.scenario = scenario;
        this.change = Math.floor(seconds * CHANGE_PART);
    }

    /**
     * Returns when the change comes.
     *
     * @return the time, in seconds
     */
    int changeSecond() {
        return (int) change;
    }

    /**
     * Returns the load of the service on a worker.
     *
     * @param zone the number of the worker's zone
     * @param second the time, in seconds
     * @return the part of the service's full load
     */
    double serviceLoad(int zone, int second) {
        double since = second - change;
        double usual = USUAL_LOAD * (1 + SWING * Math.sin(second / WAVE_SECONDS));
        double load =
                switch (scenario) {
                    case MORNING_BURST -> burst(since);
                    case MERGER_CUT_OVER -> usual * (1 + ramp(since));
                    case AFTERSHOCK_WEEKS -> usual * (1 + AFTERSHOCK_GROWTH * ramp(since));
                    case LOAD_SHIFT -> since < 0 ? usual : usual * (SHIFTED_LOAD + zone);
                    default -> usual;
                };
        return Math.min(HIGHEST_LOAD, load);
    }

    /**
     * Returns the offered work of a batch kind in relation to the processors of the fleet.
     *
     * @param kind the position of the kind
     * @param second the time, in seconds
     * @return the offered work
     */
    double batchOffered(int kind, int second) {
        boolean changed = second >= change;
        double each = OFFERED * (1 - USUAL_LOAD * World.SERVICE_PART) / World.BATCH;
        int position = kind - World.FIRST_BATCH;
        if (kind == World.NOISY) {
            boolean wave = changed && second < change + WAVE_SECONDS;
            return scenario == Scenario.NOISY_WAVE && wave ? NOISY_OFFERED : 0;
        }
        if (kind >= World.FIRST_LATE) {
            return scenario == Scenario.MERGER_CUT_OVER && changed ? each : 0;
        }
        double tilt = 1 + TILT * (2.0 * position / (World.BATCH - 1) - 1);
        if (scenario == Scenario.LOAD_SHIFT) {
            return each * (changed ? 2 - tilt : tilt);
        }
        return scenario == Scenario.AFTERSHOCK_WEEKS && changed ? AFTERSHOCK_BATCH * each : each;
    }

    /**
     * Returns how many urgent jobs arrive in a second.
     *
     * @param second the time, in seconds
     * @return the mean number
     */
    double urgentPerSecond(int second) {
        boolean often = scenario == Scenario.AFTERSHOCK_WEEKS && second >= change;
        return often ? 1 : URGENT_RATE;
    }

    /**
     * Returns the load in the morning burst.
     *
     * @param since the time since the begin of the burst, in seconds
     * @return the load
     */
    private static double burst(double since) {
        double peak = NIGHT_LOAD * 10;
        double rise = NIGHT_LOAD + (peak - NIGHT_LOAD) * ramp(since);
        double after = Math.max(0, since - MINUTE - WAVE_SECONDS) / (2 * WAVE_SECONDS);
        return Math.max(Math.min(rise, USUAL_LOAD), rise - (peak - USUAL_LOAD) * after);
    }

    /**
     * Returns how far a change that takes one minute has come.
     *
     * @param since the time since its begin, in seconds
     * @return the part, from 0 to 1
     */
    private static double ramp(double since) {
        return Math.min(1, Math.max(0, since / MINUTE));
    }
}
