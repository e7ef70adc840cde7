package org.damasktiller.routing;

import java.util.random.RandomGenerator;

/** Decides whether and when a request is tried again after a failed attempt. */
final class RetryPolicy {

    /** Tells that no further try is allowed. */
    static final long NO_RETRY = -1;

    /** The limit of second tries. */
    private final RetryBudget budget;

    /** The delays before second tries. */
    private final BackoffDelay backoff;

    /** How many tries one request gets at most. */
    private final int triesPerRequest;

    /**
     * Creates a policy.
     *
     * @param settings the settings
     * @param random the source of the jitter
     */
    RetryPolicy(RoutingSettings settings, RandomGenerator random) {
        this.budget =
                new RetryBudget(settings.retryDepositPerMille(), settings.retryCapacityTries());
        this.backoff =
                new BackoffDelay(settings.retryBaseMillis(), settings.retryMaximumMillis(), random);
        this.triesPerRequest = settings.triesPerRequest();
    }

    /** Notes the first try of a request. */
    void firstTry() {
        budget.deposit();
    }

    /**
     * Decides on a further try after an attempt that failed, and takes it from the budget.
     *
     * @param pending the request
     * @param outcome how the attempt ended
     * @param nowMillis the time, in milliseconds
     * @return the delay in milliseconds, or {@link #NO_RETRY}
     */
    long retryDelay(PendingRequest pending, AttemptOutcome outcome, long nowMillis) {
        if (!allowed(pending, outcome) || pending.tries >= triesPerRequest) {
            return NO_RETRY;
        }
        if (outcome == AttemptOutcome.DRAINING) {
            return 0;
        }
        long delay = backoff.next(pending.tries);
        if (nowMillis + delay >= pending.request().deadlineMillis() || !budget.withdraw()) {
            return NO_RETRY;
        }
        return delay;
    }

    /**
     * Decides on a hedge, and takes it from the budget.
     *
     * @param pending the request
     * @return whether a second attempt may be made beside the first
     */
    boolean hedge(PendingRequest pending) {
        return pending.repeatable()
                && pending.attempts().size() == 1
                && pending.tries < triesPerRequest
                && budget.withdraw();
    }

    /**
     * Tells whether the kind of the request allows a further try. A request of an at-most-once kind
     * is sent again only if no byte can have left.
     *
     * @param pending the request
     * @param outcome how the attempt ended
     * @return whether a further try does no harm
     */
    private static boolean allowed(PendingRequest pending, AttemptOutcome outcome) {
        return switch (outcome) {
            case ANSWERED -> false;
            case NOT_SENT -> pending.request().replayable();
            case DRAINING, BUSY -> pending.repeatable() || pending.sendableAfterRefusal();
            case FAILED, BROKEN -> pending.repeatable();
        };
    }
}
