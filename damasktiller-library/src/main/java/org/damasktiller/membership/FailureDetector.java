package org.damasktiller.membership;

import java.util.List;
import org.damasktiller.identity.VmId;
import org.jspecify.annotations.Nullable;

/** Probes one member each period, directly and then through others. */
final class FailureDetector {

    /** How many members are asked to probe one that did not answer. */
    private static final int INDIRECT_PROBES = 3;

    /** What this member knows. */
    private final ZoneView view;

    /** Sends the probes. */
    private final GossipSender sender;

    /** The order of probes. */
    private final ProbeOrder order;

    /** The times and sizes. */
    private final MembershipSettings settings;

    /** The probe that waits for an answer. */
    private @Nullable Probe probe;

    /** The number of the latest probe. */
    private int sequence;

    /** When the latest tick was, in milliseconds. */
    private long lastTickMillis = Long.MIN_VALUE;

    /** When the next period starts, in milliseconds. */
    private long nextPeriodMillis = Long.MIN_VALUE;

    /** The suspicions raised. */
    private long suspicions;

    /**
     * Creates a detector.
     *
     * @param view what this member knows
     * @param sender sends the probes
     * @param order the order of probes
     * @param settings the times and sizes
     */
    FailureDetector(
            ZoneView view, GossipSender sender, ProbeOrder order, MembershipSettings settings) {
        this.view = view;
        this.sender = sender;
        this.order = order;
        this.settings = settings;
    }

    /**
     * Returns how many suspicions this member raised.
     *
     * @return the number of suspicions
     */
    long suspicions() {
        return suspicions;
    }

    /**
     * Follows up the probe that waits and starts the next one when a period has passed.
     *
     * @param nowMillis the time, in milliseconds
     */
    void onTick(long nowMillis) {
        noticePause(nowMillis);
        Probe waiting = probe;
        if (waiting != null && waiting.startIndirect(nowMillis, settings.probeTimeoutMillis())) {
            List<VmId> helpers = view.others(waiting.target());
            for (VmId helper : order.some(helpers, INDIRECT_PROBES)) {
                sender.requestPing(helper, waiting.target(), waiting.sequence(), nowMillis);
            }
        }
        if (nowMillis < nextPeriodMillis) {
            return;
        }
        nextPeriodMillis = nowMillis + settings.periodMillis();
        if (waiting != null && !waiting.answered()) {
            suspect(waiting.target(), nowMillis);
        }
        startProbe(nowMillis);
    }

    /**
     * Takes in the answer to a probe of this member.
     *
     * @param member the member that answered
     * @param number the number of the probe
     */
    void onAnswer(VmId member, int number) {
        if (probe != null && probe.target().equals(member)) {
            probe.onAnswer(number);
        }
    }

    /**
     * Notices that this process was paused: missing answers then say nothing about others.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void noticePause(long nowMillis) {
        if (lastTickMillis != Long.MIN_VALUE) {
            long gap = nowMillis - lastTickMillis;
            if (gap >= settings.pauseMillis()) {
                probe = null;
                view.extendSuspicions(gap);
            }
        }
        lastTickMillis = nowMillis;
    }

    /**
     * Probes the next member.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void startProbe(long nowMillis) {
        VmId target = order.next(view.others(null));
        probe = null;
        if (target != null) {
            sequence++;
            probe = new Probe(target, sequence, nowMillis);
            sender.ping(target, sequence, null, nowMillis);
        }
    }

    /**
     * Suspects a member and tells it at once, so that it can refute.
     *
     * @param id the member
     * @param nowMillis the time, in milliseconds
     */
    private void suspect(VmId id, long nowMillis) {
        Rumor news = view.suspect(id, nowMillis);
        if (news != null) {
            suspicions++;
            sender.tell(id, List.of(news), nowMillis);
        }
    }
}
