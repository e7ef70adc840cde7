package org.damasktiller.limit;

/**
 * Holds the share of one zone.
 *
 * @param granted how many may run in the zone at once, not negative
 * @param wanted how many the zone could use
 */
public record ZoneShare(int granted, int wanted) {

    /** The share of a zone that has none and wants none. */
    static final ZoneShare NONE = new ZoneShare(0, 0);
}
