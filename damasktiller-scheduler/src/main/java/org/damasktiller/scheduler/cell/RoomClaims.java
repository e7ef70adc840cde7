package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.placement.WorkerRoom;

/**
 * The room of other cells that has been given to submissions, but may still be published as free.
 */
final class RoomClaims {

    /**
     * How long a claim lasts, in milliseconds, which is longer than it takes until the owner of the
     * cell has published the room that is left.
     */
    private static final long CLAIM_MILLIS = 2_000;

    /** The part of the room that may be claimed at a time is one over this number. */
    private static final int ROOM_DIVISOR = 2;

    /** The claims, the oldest one first. */
    private final List<Claim> claims = new ArrayList<>();

    /** Creates a record without claims. */
    RoomClaims() {}

    /**
     * Returns whether a submission may claim room of a cell: the first one may, and others while
     * all of them together need at most half of the room.
     *
     * @param cell the name of the cell
     * @param rooms the published room
     * @param millicores the CPU that the submission needs, in millicores
     * @param nowMillis the current time, in milliseconds
     * @return whether it may
     */
    boolean allow(String cell, List<WorkerRoom> rooms, long millicores, long nowMillis) {
        claims.removeIf(claim -> nowMillis >= claim.untilMillis());
        long claimed =
                claims.stream()
                        .filter(claim -> claim.cell().equals(cell))
                        .mapToLong(Claim::millicores)
                        .sum();
        long free =
                rooms.stream()
                        .mapToLong(room -> room.workers() * room.free().cpuMillicores())
                        .sum();
        return claimed == 0 || claimed + millicores <= free / ROOM_DIVISOR;
    }

    /**
     * Adds a claim.
     *
     * @param cell the name of the cell
     * @param millicores the CPU that the submission needs, in millicores
     * @param nowMillis the current time, in milliseconds
     */
    void add(String cell, long millicores, long nowMillis) {
        claims.add(new Claim(cell, millicores, nowMillis + CLAIM_MILLIS));
    }

    /**
     * Room that was given to a submission.
     *
     * @param cell the name of the cell
     * @param millicores the CPU, in millicores
     * @param untilMillis until when it counts, in milliseconds
     */
    private record Claim(String cell, long millicores, long untilMillis) {}
}
