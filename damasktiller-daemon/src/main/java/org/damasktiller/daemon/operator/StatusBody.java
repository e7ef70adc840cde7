package org.damasktiller.daemon.operator;

import java.util.List;

/**
 * Tells what an entry VM knows of the system.
 *
 * @param vm the entry VM that answers
 * @param zone its availability zone
 * @param readiness whether it takes new work
 * @param tableVersion the version of the table in force on it
 * @param zones the availability zones
 * @param members the live entry VMs of its zone
 * @param cells the cells and their owners
 */
public record StatusBody(
        String vm,
        String zone,
        String readiness,
        long tableVersion,
        List<ZoneBody> zones,
        List<String> members,
        List<CellBody> cells) {

    /**
     * Tells the state of an availability zone.
     *
     * @param zone the zone
     * @param region its region
     * @param tableVersion the version of the table in force on all its live members
     * @param inForceSinceMillis since when, in milliseconds since 1970
     * @param reachable whether the zone was heard of lately
     * @param liveMembers the number of its live members
     */
    public record ZoneBody(
            String zone,
            String region,
            long tableVersion,
            long inForceSinceMillis,
            boolean reachable,
            int liveMembers) {}

    /**
     * Tells the owner of a cell.
     *
     * @param cell the cell
     * @param owner the entry VM that is to own it
     * @param ownedHere whether the answering VM owns it
     */
    public record CellBody(String cell, String owner, boolean ownedHere) {}
}
