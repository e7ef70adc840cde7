package org.damasktiller.scheduler.cell;

/** Why a worker may or may not get a start of a task now; the first rule that refuses decides. */
enum PlacementVerdict {
    /** The worker may get the start. */
    ELIGIBLE("could start it"),

    /** The worker is not registered, does not answer, drains, or is closed in the roster. */
    NOT_USABLE("not usable: unregistered, silent, draining, or not yet open to this owner"),

    /** The zone is evacuated, or it is not known whether it is. */
    ZONE_CLOSED("in an evacuated zone, or the evacuated zones are not known"),

    /** The worker has refused a start, has too many in flight, or is quarantined or held. */
    BUSY("busy: full, quarantined, held for a suspect task, or with too many starts in flight"),

    /** The worker lacks the label that the step requires, or its entry is that of a former boot. */
    LABEL_MISSING("without the required label, or with that of a former boot only"),

    /** The worker is suspect or on probation after failed runs, and gets few starts or none. */
    ON_PROBATION("suspect or on probation after failed runs"),

    /** The step needs a ticket of the advice service, and there is none for the worker. */
    NO_TICKET("without a ticket of the advice service"),

    /** The worker runs as many tasks of the step as it may. */
    STEP_LIMIT("at the limit of tasks of the step"),

    /** The worker has too little idle CPU for a filler, or is kept for urgent tasks. */
    NO_CPU("without idle CPU for a filler, or kept for urgent tasks"),

    /** The free resources of the worker do not cover the task. */
    NO_ROOM("without room"),

    /** The start would delay a larger task for which room is kept. */
    ROOM_KEPT("keeping room for a larger task"),

    /** The filler would disturb serving tasks more than it may now. */
    WOULD_DISTURB("with serving tasks that it would disturb");

    /** The verdict in words. */
    private final String text;

    /**
     * Creates a verdict.
     *
     * @param text the verdict in words
     */
    PlacementVerdict(String text) {
        this.text = text;
    }

    /**
     * Returns the verdict in words.
     *
     * @return the words, which follow a number of workers
     */
    String text() {
        return text;
    }
}
