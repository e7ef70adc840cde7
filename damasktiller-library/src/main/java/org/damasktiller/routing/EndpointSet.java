package org.damasktiller.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.table.KindOfWork;
import org.jspecify.annotations.Nullable;

/** Keeps the endpoints and chooses one of them for each request. */
final class EndpointSet {

    /** How many times the median latency makes an endpoint an outlier. */
    private static final double OUTLIER_FACTOR = 3;

    /** The latency below which no endpoint is an outlier, in milliseconds. */
    private static final double OUTLIER_FLOOR_MILLIS = 10;

    /** How many samples are needed before latency counts. */
    private static final int OUTLIER_SAMPLES = 4;

    /** How many endpoints are needed for a median. */
    private static final int OUTLIER_PEERS = 3;

    /** How many endpoints are drawn at most to find two that are free. */
    private static final int DRAWS = 8;

    /** How long a computed median is used, in milliseconds. */
    private static final long MEDIAN_AGE_MILLIS = 50;

    /** The number of percent in a whole. */
    private static final int PERCENT = 100;

    /** The endpoints in the order of their arrival. */
    private final Map<EndpointId, EndpointState> states = new LinkedHashMap<>();

    /** The endpoints by how far they are. */
    private final Map<Distance, List<EndpointState>> byDistance = new EnumMap<>(Distance.class);

    /** The availability zone of this entry VM. */
    private final ZoneName zone;

    /** The region of this entry VM. */
    private final RegionName region;

    /** The settings. */
    private final RoutingSettings settings;

    /** Our part of each endpoint. */
    private final EndpointAllowance allowance;

    /** The source of the random choices. */
    private final RandomGenerator random;

    /** The median of the average latencies when it was last computed, in milliseconds. */
    private double medianMillis = -1;

    /** When the median was last computed, in milliseconds. */
    private long medianAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty set.
     *
     * @param zone the availability zone of this entry VM
     * @param region its region
     * @param settings the settings
     * @param allowance our part of each endpoint
     * @param random the source of the random choices
     */
    EndpointSet(
            ZoneName zone,
            RegionName region,
            RoutingSettings settings,
            EndpointAllowance allowance,
            RandomGenerator random) {
        this.zone = zone;
        this.region = region;
        this.settings = settings;
        this.allowance = allowance;
        this.random = random;
    }

    /**
     * Replaces the list of endpoints. A known endpoint keeps what was measured; a new one begins
     * with slow start unless the set was empty.
     *
     * @param descriptions the endpoints
     * @param nowMillis the time, in milliseconds
     */
    void replace(Collection<EndpointDescription> descriptions, long nowMillis) {
        boolean first = states.isEmpty();
        Map<EndpointId, EndpointState> kept = new LinkedHashMap<>();
        for (EndpointDescription description : descriptions) {
            EndpointState state = states.get(description.id());
            if (state == null) {
                long started = first ? nowMillis - settings.slowStartMillis() : nowMillis;
                state = new EndpointState(description, started);
            }
            state.describe(description);
            kept.put(description.id(), state);
        }
        states.clear();
        states.putAll(kept);
        byDistance.clear();
        for (EndpointState state : states.values()) {
            Distance distance = distance(state);
            byDistance.computeIfAbsent(distance, any -> new ArrayList<>()).add(state);
        }
    }

    /**
     * Finds an endpoint by its name.
     *
     * @param endpoint the name
     * @return the state, or null if the endpoint is not listed
     */
    @Nullable EndpointState find(EndpointId endpoint) {
        return states.get(endpoint);
    }

    /**
     * Returns all endpoints.
     *
     * @return the states
     */
    Collection<EndpointState> all() {
        return states.values();
    }

    /**
     * Returns our part of an endpoint's slots.
     *
     * @param state the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of slots
     */
    int allowed(EndpointState state, long nowMillis) {
        return allowance.slots(state.description(), nowMillis);
    }

    /**
     * Tells whether any endpoint may receive a request of a kind, now or once a slot is free.
     *
     * @param kind the kind
     * @param nowMillis the time, in milliseconds
     * @return whether there is one
     */
    boolean anyUsable(KindOfWork kind, long nowMillis) {
        return anyUsableWithin(Distance.FAR, kind, nowMillis);
    }

    /**
     * Returns how many requests of a kind the usable endpoints of the nearest place take at once.
     *
     * @param kind the kind
     * @param nowMillis the time, in milliseconds
     * @return the number of requests
     */
    int totalCapacity(KindOfWork kind, long nowMillis) {
        int total = 0;
        for (EndpointState state : states.values()) {
            if (state.usable(nowMillis)
                    && placed(state, kind)
                    && distance(state).within(Distance.REGION.nearer(reach(kind)))) {
                total += capacity(state, nowMillis);
            }
        }
        return total;
    }

    /**
     * Chooses an endpoint with a free slot: in the zone first, then in the region, and in another
     * region only where no nearer endpoint is usable at all, as far as the table allows.
     *
     * @param kind the kind
     * @param excluded an endpoint not to choose, or null
     * @param nowMillis the time, in milliseconds
     * @return the endpoint, or null if none has a free slot
     */
    @Nullable EndpointState choose(
            KindOfWork kind, @Nullable EndpointState excluded, long nowMillis) {
        for (Distance distance : Distance.values()) {
            if (!distance.within(reach(kind))) {
                return null;
            }
            if (distance == Distance.FAR && anyUsableWithin(Distance.REGION, kind, nowMillis)) {
                return null;
            }
            EndpointState found = chooseAt(distance, kind, excluded, nowMillis);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    /**
     * Ejects an endpoint that fails or is far slower than its peers, within the cap.
     *
     * @param state the endpoint
     * @param nowMillis the time, in milliseconds
     * @return whether it was ejected now
     */
    boolean ejectIfOutlier(EndpointState state, long nowMillis) {
        state.forgive(settings.ejectionMillis(), nowMillis);
        if (state.ejected(nowMillis) || state.leaving()) {
            return false;
        }
        if (!state.failing() && !slow(state, nowMillis)) {
            return false;
        }
        if (!withinCap(state, nowMillis)) {
            return false;
        }
        state.eject(settings.ejectionMillis(), nowMillis);
        return true;
    }

    /**
     * Returns the median of the average latencies of the zone's usable endpoints, computed anew
     * after a while.
     *
     * @param nowMillis the time, in milliseconds
     * @return the median, in milliseconds, negative if too few endpoints have samples
     */
    double medianLatency(long nowMillis) {
        if (nowMillis - medianAtMillis >= MEDIAN_AGE_MILLIS) {
            medianAtMillis = nowMillis;
            medianMillis = computeMedian(nowMillis);
        }
        return medianMillis;
    }

    /**
     * Computes the median of the average latencies of the zone's usable endpoints.
     *
     * @param nowMillis the time, in milliseconds
     * @return the median, in milliseconds, negative if too few endpoints have samples
     */
    private double computeMedian(long nowMillis) {
        double[] averages =
                states.values().stream()
                        .filter(state -> state.usable(nowMillis))
                        .filter(state -> distance(state) == Distance.ZONE)
                        .filter(state -> state.latency().samples() >= OUTLIER_SAMPLES)
                        .mapToDouble(state -> state.latency().millis())
                        .toArray();
        if (averages.length < OUTLIER_PEERS) {
            return -1;
        }
        Arrays.sort(averages);
        return averages[averages.length / 2];
    }

    /**
     * Tells whether any endpoint within a distance may receive a request of a kind.
     *
     * @param farthest the distance
     * @param kind the kind
     * @param nowMillis the time, in milliseconds
     * @return whether there is one
     */
    private boolean anyUsableWithin(Distance farthest, KindOfWork kind, long nowMillis) {
        Distance limit = farthest.nearer(reach(kind));
        for (EndpointState state : states.values()) {
            if (state.usable(nowMillis)
                    && placed(state, kind)
                    && distance(state).within(limit)
                    && allowed(state, nowMillis) > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Draws two endpoints of one distance and takes the better one. Looks through all of them only
     * if a few draws find none that is free.
     *
     * @param distance the distance
     * @param kind the kind
     * @param excluded an endpoint not to choose, or null
     * @param nowMillis the time, in milliseconds
     * @return the endpoint, or null if none has a free slot
     */
    private @Nullable EndpointState chooseAt(
            Distance distance, KindOfWork kind, @Nullable EndpointState excluded, long nowMillis) {
        List<EndpointState> candidates = byDistance.get(distance);
        if (candidates == null || candidates.isEmpty()) {
            return null;
        }
        EndpointState drawn = drawTwo(candidates, kind, excluded, nowMillis);
        if (drawn != null) {
            return drawn;
        }
        EndpointState best = null;
        for (EndpointState state : candidates) {
            if (!state.equals(excluded) && free(state, kind, nowMillis)) {
                best = better(best, state, nowMillis);
            }
        }
        return best;
    }

    /**
     * Draws until two free endpoints are found or the draws are used up.
     *
     * @param candidates the endpoints to draw from, not empty
     * @param kind the kind
     * @param excluded an endpoint not to choose, or null
     * @param nowMillis the time, in milliseconds
     * @return the better of those found, or null
     */
    private @Nullable EndpointState drawTwo(
            List<EndpointState> candidates,
            KindOfWork kind,
            @Nullable EndpointState excluded,
            long nowMillis) {
        EndpointState best = null;
        int found = 0;
        for (int draws = 0; draws < DRAWS && found < 2; draws++) {
            EndpointState state = candidates.get(random.nextInt(candidates.size()));
            if (state.equals(excluded) || state.equals(best) || !free(state, kind, nowMillis)) {
                continue;
            }
            found++;
            best = better(best, state, nowMillis);
        }
        return best;
    }

    /**
     * Returns the endpoint with less outstanding work for its latency.
     *
     * @param best the best so far, or null
     * @param other another endpoint
     * @param nowMillis the time, in milliseconds
     * @return the better one
     */
    private static EndpointState better(
            @Nullable EndpointState best, EndpointState other, long nowMillis) {
        return best == null || score(other, nowMillis) < score(best, nowMillis) ? other : best;
    }

    /**
     * Tells whether an endpoint can take a request of a kind now.
     *
     * @param state the endpoint
     * @param kind the kind
     * @param nowMillis the time, in milliseconds
     * @return whether it can
     */
    private boolean free(EndpointState state, KindOfWork kind, long nowMillis) {
        return state.usable(nowMillis)
                && placed(state, kind)
                && state.used(nowMillis) < capacity(state, nowMillis);
    }

    /**
     * Tells whether an endpoint is far slower than the median of its zone.
     *
     * @param state the endpoint
     * @param nowMillis the time, in milliseconds
     * @return whether it is
     */
    private boolean slow(EndpointState state, long nowMillis) {
        if (state.latency().samples() < OUTLIER_SAMPLES
                || state.latency().millis() < OUTLIER_FLOOR_MILLIS
                || distance(state) != Distance.ZONE) {
            return false;
        }
        double median = medianLatency(nowMillis);
        return median >= 0 && state.latency().millis() > OUTLIER_FACTOR * median;
    }

    /**
     * Tells whether a further endpoint of the zone may be ejected.
     *
     * @param candidate the endpoint to eject
     * @param nowMillis the time, in milliseconds
     * @return whether the cap allows it
     */
    private boolean withinCap(EndpointState candidate, long nowMillis) {
        int total = 0;
        int ejected = 0;
        for (EndpointState state : states.values()) {
            if (!state.description().zone().equals(candidate.description().zone())) {
                continue;
            }
            total++;
            if (state.ejected(nowMillis)) {
                ejected++;
            }
        }
        return (ejected + 1) * PERCENT <= total * settings.ejectionCapPercent();
    }

    /**
     * Estimates how long a further request would take.
     *
     * @param state the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the score, lower is better
     */
    private static double score(EndpointState state, long nowMillis) {
        return (state.used(nowMillis) + 1) * Math.max(1, state.latency().millis());
    }

    /**
     * Returns how many requests an endpoint may have from us at once.
     *
     * @param state the endpoint
     * @param nowMillis the time, in milliseconds
     * @return the number of requests
     */
    private int capacity(EndpointState state, long nowMillis) {
        return state.capacity(allowed(state, nowMillis), settings.slowStartMillis(), nowMillis);
    }

    /**
     * Tells whether the table allows a kind in the zone of an endpoint.
     *
     * @param state the endpoint
     * @param kind the kind
     * @return whether it does
     */
    private static boolean placed(EndpointState state, KindOfWork kind) {
        return kind.places().isEmpty() || kind.places().contains(state.description().zone());
    }

    /**
     * Returns how far an endpoint is.
     *
     * @param state the endpoint
     * @return the distance
     */
    private Distance distance(EndpointState state) {
        if (state.description().zone().equals(zone)) {
            return Distance.ZONE;
        }
        return state.description().region().equals(region) ? Distance.REGION : Distance.FAR;
    }

    /**
     * Returns how far requests of a kind may go.
     *
     * @param kind the kind
     * @return the largest distance
     */
    private static Distance reach(KindOfWork kind) {
        return Distance.reach(kind.spill());
    }
}
