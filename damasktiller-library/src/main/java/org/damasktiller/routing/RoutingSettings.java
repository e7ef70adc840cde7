package org.damasktiller.routing;

/**
 * Holds the settings of a {@link RequestRouter}.
 *
 * @param queueCapacity how many requests wait at most
 * @param attemptTimeoutMillis when an attempt is given up at the latest, in milliseconds
 * @param retryDepositPerMille how many second tries a thousand first tries allow
 * @param retryCapacityTries how many second tries can be saved
 * @param triesPerRequest how many tries one request gets at most
 * @param retryBaseMillis the bound of the first retry delay, in milliseconds
 * @param retryMaximumMillis the bound of all retry delays, in milliseconds
 * @param hedgeFloorMillis the shortest wait before a hedge, in milliseconds
 * @param ejectionMillis how long an outlier is ejected the first time, in milliseconds
 * @param ejectionCapPercent the largest part of a zone's endpoints ejected at once, in percent
 * @param slowStartMillis how long an added endpoint takes to get its full part, in milliseconds
 * @param abandonedSlotMillis how long the slot of an aborted attempt stays in use, in milliseconds
 */
public record RoutingSettings(
        int queueCapacity,
        long attemptTimeoutMillis,
        int retryDepositPerMille,
        int retryCapacityTries,
        int triesPerRequest,
        long retryBaseMillis,
        long retryMaximumMillis,
        long hedgeFloorMillis,
        long ejectionMillis,
        int ejectionCapPercent,
        long slowStartMillis,
        long abandonedSlotMillis) {

    /** The settings for a zone of about fifteen endpoints. */
    public static final RoutingSettings DEFAULT =
            new RoutingSettings(1000, 10_000, 100, 100, 3, 10, 1000, 20, 10_000, 30, 5000, 500);
}
