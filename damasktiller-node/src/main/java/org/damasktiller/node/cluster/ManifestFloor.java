package org.damasktiller.node.cluster;

import java.util.function.BooleanSupplier;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.ProcessRuntime;

/**
 * Knows the oldest version of the manifest by which this process may answer callers: the newest one
 * that it has answered by, itself or through a peer, or that a peer has named. While the own
 * version is older, the manifest is read until it has caught up. After a request whose outcome a
 * peer has left unknown, the peer's version is unknown too; until the store has confirmed that the
 * own version is the newest, no request is denied by a manifest.
 *
 * <p>Load pattern: the store does not answer one VM, whose peers take its requests and receive a
 * new version meanwhile. When the store answers the VM again, its watch of the manifest is still
 * waiting for an answer that never comes.
 */
public final class ManifestFloor {

    /** The pause between two reads of the manifest while the own version is older, in ms. */
    private static final long READ_INTERVAL_MILLIS = 150;

    /**
     * How long requests go on to peers because the own version is older while the store answers, in
     * milliseconds: the timeout of a read of the manifest.
     */
    private static final long MAX_BEHIND_MILLIS = 5_000;

    /** The time of an event that has not happened. */
    private static final long NEVER = -1;

    /** Receives the versions of the manifest. */
    private final ManifestWatcher watcher;

    /** Tells whether the store rejects the calls of this process or does not respond. */
    private final BooleanSupplier storeFailing;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** The highest revision of the manifest that peers have answered by or named, 0 if none. */
    private long peerRevision;

    /** Whether the manifest is being read until the own version is no longer older. */
    private boolean catchingUp;

    /** The number of requests whose outcome a peer has left unknown. */
    private long unknownOutcomes;

    /** How many of them came before the store last confirmed the own version. */
    private long confirmedOutcomes;

    /** Whether a request to confirm the own version has no answer yet. */
    private boolean confirmationPending;

    /**
     * Since when the store has answered while the own version was older, on the monotonic clock, in
     * milliseconds, or {@link #NEVER}.
     */
    private long behindSinceMillis = NEVER;

    /**
     * Creates a floor at the version that the watcher has.
     *
     * @param watcher receives the versions of the manifest
     * @param storeFailing tells whether the store rejects the calls of this process or does not
     *     respond
     * @param runtime the clock and the timers
     * @param log the log
     */
    public ManifestFloor(
            ManifestWatcher watcher,
            BooleanSupplier storeFailing,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.watcher = watcher;
        this.storeFailing = storeFailing;
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Decides who handles a request that arrives now.
     *
     * @return this process, unless the store fails it or its version is too old; then a peer, or
     *     nobody if the version has been too old for long although the store answers
     */
    public RequestHandler handler() {
        if (storeFailing.getAsBoolean()) {
            return RequestHandler.PEER;
        }
        if (!isBehind()) {
            return RequestHandler.SELF;
        }
        return isOverdue() ? RequestHandler.NONE : RequestHandler.PEER;
    }

    /**
     * Tells whether the own version is older than one that was answered by or named.
     *
     * @return whether no request may be handled by it
     */
    public boolean isBehind() {
        return watcher.revision() < peerRevision;
    }

    /**
     * Tells whether the own version has stayed too old although the store answers.
     *
     * @return whether requests are no longer passed on for that reason
     */
    public boolean isOverdue() {
        return isBehind()
                && behindSinceMillis != NEVER
                && runtime.nowMillis() - behindSinceMillis >= MAX_BEHIND_MILLIS;
    }

    /**
     * Returns the floor.
     *
     * @return the store's revision of the oldest version to answer by, 0 before there is one
     */
    public long revision() {
        return Math.max(watcher.revision(), peerRevision);
    }

    /**
     * Returns the version by which this process handles requests.
     *
     * @return the store's revision of the own version, 0 before there is one
     */
    public long ownRevision() {
        return watcher.revision();
    }

    /**
     * Takes note of a version that a peer has answered by or named.
     *
     * @param revision the store's revision of the version, 0 if the peer did not name it
     */
    public void onPeerRevision(long revision) {
        if (revision <= revision()) {
            return;
        }
        peerRevision = revision;
        log.log("manifest.behind", "revision", watcher.revision(), "peers", revision);
        startCatchingUp();
    }

    /** Takes note of a request that a peer may have handled by a version that it has not named. */
    public void onOutcomeUnknown() {
        if (!isUnconfirmed()) {
            log.log("manifest.unconfirmed", "revision", watcher.revision());
        }
        unknownOutcomes++;
        startCatchingUp();
    }

    /**
     * Tells whether a peer may have handled a request by a newer version than the own one, so that
     * no request may be denied by it.
     *
     * @return whether the store has not confirmed the own version since
     */
    public boolean isUnconfirmed() {
        return confirmedOutcomes < unknownOutcomes;
    }

    /** Starts to read the manifest at intervals, unless that is being done. */
    private void startCatchingUp() {
        if (!catchingUp) {
            catchingUp = true;
            catchUp();
        }
    }

    /**
     * Reads the manifest at intervals while the store answers and the own version is older or
     * unconfirmed.
     */
    private void catchUp() {
        if (!isBehind()) {
            behindSinceMillis = NEVER;
            if (!isUnconfirmed()) {
                log.log("manifest.caught-up", "revision", watcher.revision());
                catchingUp = false;
                return;
            }
        }
        if (storeFailing.getAsBoolean()) {
            behindSinceMillis = NEVER;
        } else if (isBehind()) {
            if (behindSinceMillis == NEVER) {
                behindSinceMillis = runtime.nowMillis();
            }
            watcher.readNow();
        } else if (!confirmationPending) {
            confirm();
        }
        runtime.schedule(READ_INTERVAL_MILLIS, this::catchUp);
    }

    /** Asks the store whether the own version is the newest. */
    private void confirm() {
        long outcomes = unknownOutcomes;
        confirmationPending = true;
        watcher.confirmNow(
                confirmed -> {
                    confirmationPending = false;
                    if (confirmed) {
                        confirmedOutcomes = outcomes;
                    }
                });
    }
}
