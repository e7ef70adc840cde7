package org.damasktiller.node.intake;

import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * What bounds the requests of a process.
 *
 * @param bodies reads the bodies of callers' requests
 * @param peerBodies reads the bodies of peers' requests, which callers can't displace
 * @param heads counts the incomplete heads of the requests of callers
 * @param connections decides which connections of callers are accepted
 */
public record Intake(
        BodyReader bodies,
        BodyReader peerBodies,
        RequestHeads heads,
        ConnectionLimiter connections) {

    /**
     * Creates the bounds of this process by the size of its heap and the number of descriptors.
     *
     * @param descriptors the number of descriptors that the process may have open, 0 if that is not
     *     known
     * @param runtime the clock and the timers
     * @param log the log
     * @return the bounds
     */
    public static Intake create(int descriptors, ProcessRuntime runtime, DecisionLog log) {
        IntakeLimits limits = IntakeLimits.of(Runtime.getRuntime().maxMemory(), descriptors);
        IntakeBudget budget = new IntakeBudget(limits, runtime);
        log.log(
                "intake.limits",
                "bodyBytes",
                limits.bodyBytes(),
                "largeBodyBytes",
                limits.largeBodyBytes(),
                "connections",
                limits.connections());
        return new Intake(
                new BodyReader(budget, runtime, log),
                new BodyReader(new IntakeBudget(limits, runtime), runtime, log),
                new RequestHeads(budget, runtime, log),
                new ConnectionLimiter(limits, budget, log));
    }
}
