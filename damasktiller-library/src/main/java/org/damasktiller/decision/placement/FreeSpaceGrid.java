package org.damasktiller.decision.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import org.damasktiller.decision.SizeClass;
import org.damasktiller.resource.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Finds workers by free processors and memory. Workers are kept in lists by the classes of both; a
 * bit mask a row tells which lists are not empty, so that a search looks at lists, not at workers.
 */
final class FreeSpaceGrid {

    /** How many members of one list are offered in the first pass. */
    private static final int MEMBERS_FIRST = 2;

    /** How many members of one list are offered if the first pass found none. */
    private static final int MEMBERS_SECOND = 64;

    /** One part in this many of the candidates are those that fit most tightly. */
    private static final int TIGHT_PART = 4;

    /** The number of rows and of columns. */
    private static final int SIDE = SizeClass.COUNT;

    /** The lists, by row and column; null if never used. */
    private final @Nullable List<WorkerState>[] cells = emptyCells();

    /** For each row the columns whose lists are not empty. */
    private final long[] columns = new long[SIDE];

    /** The number of workers. */
    private int size;

    /** Creates an empty grid. */
    FreeSpaceGrid() {}

    /**
     * Adds a worker.
     *
     * @param worker the worker, which is in no grid
     */
    void add(WorkerState worker) {
        int cell = cellOf(worker.free());
        List<WorkerState> members = cells[cell];
        if (members == null) {
            members = new ArrayList<>();
            cells[cell] = members;
        }
        worker.at(cell, members.size());
        members.add(worker);
        columns[cell / SIDE] |= 1L << (cell % SIDE);
        size++;
    }

    /**
     * Removes a worker.
     *
     * @param worker the worker, which is in this grid
     */
    void remove(WorkerState worker) {
        int cell = worker.cell();
        List<WorkerState> members = membersOf(cell);
        WorkerState last = members.remove(members.size() - 1);
        if (last != worker) {
            members.set(worker.position(), last);
            last.at(cell, worker.position());
        }
        if (members.isEmpty()) {
            columns[cell / SIDE] &= ~(1L << (cell % SIDE));
        }
        worker.at(-1, 0);
        size--;
    }

    /**
     * Gathers workers that have room: first some that fit tightly, then some at random.
     *
     * @param candidates the set to fill
     * @param more how many more to gather
     * @param random the source of randomness
     */
    void gather(CandidateSet candidates, int more, RandomGenerator random) {
        if (size == 0) {
            return;
        }
        int before = candidates.workers().size();
        candidates.allow(more / TIGHT_PART);
        scan(
                candidates,
                SizeClass.of(candidates.needed().milliProcessors()),
                MEMBERS_FIRST,
                random);
        int gathered = candidates.workers().size() - before;
        candidates.allow(more - gathered);
        int first = SizeClass.of(candidates.needed().milliProcessors());
        scan(candidates, first + random.nextInt(SIDE - first), MEMBERS_FIRST, random);
        if (candidates.workers().size() == before) {
            scan(candidates, first, MEMBERS_SECOND, random);
        }
    }

    /**
     * Offers members of all lists that may have room, beginning at a row and going round.
     *
     * @param candidates the set to fill
     * @param startRow the row to begin at
     * @param members how many members of each list are offered
     * @param random the source of randomness
     */
    private void scan(CandidateSet candidates, int startRow, int members, RandomGenerator random) {
        int firstRow = SizeClass.of(candidates.needed().milliProcessors());
        long wanted = -1L << SizeClass.of(candidates.needed().memoryMegabytes());
        int rows = SIDE - firstRow;
        for (int step = 0; step < rows && !candidates.full(); step++) {
            int row = firstRow + (startRow - firstRow + step) % rows;
            long mask = columns[row] & wanted;
            while (mask != 0 && !candidates.full()) {
                int column = Long.numberOfTrailingZeros(mask);
                mask &= mask - 1;
                offerSome(candidates, membersOf(row * SIDE + column), members, random);
            }
        }
    }

    /**
     * Offers some members of a list, from a random position.
     *
     * @param candidates the set to fill
     * @param list the list
     * @param members how many
     * @param random the source of randomness
     */
    private static void offerSome(
            CandidateSet candidates, List<WorkerState> list, int members, RandomGenerator random) {
        int count = Math.min(members, list.size());
        int start = random.nextInt(list.size());
        for (int step = 0; step < count && !candidates.full(); step++) {
            candidates.offer(list.get((start + step) % list.size()));
        }
    }

    /**
     * Returns the members of a list.
     *
     * @param cell the list
     * @return the members
     */
    private List<WorkerState> membersOf(int cell) {
        List<WorkerState> members = cells[cell];
        return members == null ? Collections.emptyList() : members;
    }

    /**
     * Returns the list for an amount of free space.
     *
     * @param free the free space
     * @return the list
     */
    private static int cellOf(Resources free) {
        return SizeClass.of(free.milliProcessors()) * SIDE + SizeClass.of(free.memoryMegabytes());
    }

    /**
     * Creates the array of lists.
     *
     * @return the array
     */
    @SuppressWarnings({"unchecked", "rawtypes"}) // Java has no arrays of a generic type.
    private static @Nullable List<WorkerState>[] emptyCells() {
        return new List[SIDE * SIDE];
    }
}
