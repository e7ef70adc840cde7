package org.damasktiller.scheduler.policy;

import java.util.Arrays;
import java.util.stream.Collectors;

/** A policy of the scheduler that can be switched off, and the load pattern that it answers. */
public enum Policy {
    /** Whole workers are kept free of new long-running tasks. */
    URGENT_RESERVE(
            "urgent-reserve",
            "long-running tasks fill the workers before urgent tasks that need much of one",
            "long-running tasks start on any worker with room"),

    /** Waiting steps are ordered by kind of work, lateness, priority and remaining work. */
    URGENCY_ORDER(
            "urgency-order",
            "more work than capacity: not everything that waits can be on time",
            "steps start in the order of arrival"),

    /** Room is kept for large tasks that wait. */
    LOOK_AHEAD(
            "look-ahead",
            "small tasks take each gap before it is large enough for a large task",
            "each gap goes to the first task that fits"),

    /** Urgent tasks go where they leave the largest gaps elsewhere. */
    GAP_PACKING(
            "gap-packing",
            "urgent tasks of different sizes arrive in a burst",
            "urgent tasks go to the worker with the most free CPU"),

    /** Long-running tasks of one image share workers. */
    IMAGE_GROUPING(
            "image-grouping",
            "long-running tasks of some images tolerate fillers that disturb others",
            "long-running tasks go to the worker with the least free CPU"),

    /** Steps run near their data. */
    DATA_LOCALITY(
            "data-locality",
            "the data of a step lies on one rack, and reading it from elsewhere is slow",
            "the rack of the data is not considered"),

    /** Cold workers, and workers on which runs progress slowly, come after the others. */
    SLOW_WORKER_AVOIDANCE(
            "slow-worker-avoidance",
            "some workers are slow, or cold after their start",
            "slow and cold workers count as any other"),

    /** A task whose run failed or was moved starts on another worker. */
    RETRY_SPREADING(
            "retry-spreading",
            "a run fails for a reason that lies in its worker",
            "a task may start again on the worker on which it failed"),

    /** Workers on which several submissions fail get no starts for a while. */
    FAILING_WORKER_AVOIDANCE(
            "failing-worker-avoidance",
            "some workers fail every run",
            "failed runs say nothing about a worker"),

    /** Fillers start only where they are expected to disturb little. */
    FILLER_ADMISSION(
            "filler-admission",
            "fillers raise the tail latencies of the serving tasks beside them",
            "fillers start where the fewest fillers run"),

    /** Fillers that will be late may disturb less than those that can be on time. */
    LATE_FILLER_RESTRAINT(
            "late-filler-restraint",
            "more fillers than serving tasks tolerate, so that some of them are late",
            "a filler may disturb more, the longer it waits"),

    /** Admission of fillers keeps a margin for the noise of reported tail latencies. */
    TAIL_MARGIN(
            "tail-margin",
            "reported tail latencies vary by a factor of two from one report to the next",
            "a serving task counts as disturbed only close to its target"),

    /** The effect of fillers is learned for each pair of images. */
    LEARNED_INTERFERENCE(
            "learned-interference",
            "the effect of a filler depends on its image and on that of the serving task",
            "all fillers are expected to have the same effect"),

    /** What was learned about fillers is stored for the next owner. */
    INTERFERENCE_HANDOVER(
            "interference-handover",
            "the owner of a cell changes while fillers run",
            "each owner learns the effects of fillers anew"),

    /** Run times are learned for each image. */
    LEARNED_RUN_TIMES(
            "learned-run-times",
            "declared run times are wrong by a factor that the tasks of an image share",
            "run times are as declared"),

    /** Runs that progress far too slowly are moved. */
    STRAGGLER_MOVES(
            "straggler-moves",
            "runs hang, or their workers are slow, and each delays its step",
            "runs stay where they are"),

    /** Long-running tasks that wait in vain move to another cell. */
    TASK_MOVES(
            "task-moves",
            "a long-running step needs more workers than its cell has, while other cells have room",
            "tasks wait for workers of the cell that accepted them");

    /** The name of the policy in settings and logs. */
    private final String externalName;

    /** The load pattern that the policy answers. */
    private final String loadPattern;

    /** What happens without the policy. */
    private final String alternative;

    /**
     * Creates a policy.
     *
     * @param externalName the name in settings and logs
     * @param loadPattern the load pattern that the policy answers
     * @param alternative what happens without the policy
     */
    Policy(String externalName, String loadPattern, String alternative) {
        this.externalName = externalName;
        this.loadPattern = loadPattern;
        this.alternative = alternative;
    }

    /**
     * Finds a policy by its name.
     *
     * @param name the name in settings and logs
     * @return the policy
     * @throws IllegalArgumentException if there is none of that name; the message lists the names
     */
    public static Policy named(String name) {
        return Arrays.stream(values())
                .filter(policy -> policy.externalName.equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "unknown policy \"" + name + "\"; known: " + names()));
    }

    /**
     * Returns the name of the policy.
     *
     * @return the name in settings and logs
     */
    public String externalName() {
        return externalName;
    }

    /**
     * Returns the load pattern that the policy answers.
     *
     * @return the load pattern, as half a sentence
     */
    public String loadPattern() {
        return loadPattern;
    }

    /**
     * Returns what happens without the policy.
     *
     * @return the alternative, as half a sentence
     */
    public String alternative() {
        return alternative;
    }

    /**
     * Returns the names of all policies.
     *
     * @return the names, separated by commas
     */
    private static String names() {
        return Arrays.stream(values()).map(Policy::externalName).collect(Collectors.joining(", "));
    }
}
