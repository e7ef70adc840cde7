package org.damasktiller.scheduler.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which workers are kept free of long-running tasks. */
final class UrgentReserveTest {

    /** The CPU of each worker, in millicores. */
    private static final long CAPACITY = 64_000;

    /** The number of workers. */
    private static final int WORKERS = 100;

    /** The reserve under test. */
    private final UrgentReserve reserve = new UrgentReserve();

    @Test
    void wholeWorkersAreKeptBeforeAnyUrgentTaskArrives() {
        reserve.update(workers(0, 0), 0, 0);
        assertThat(memberCount(), equalTo(6));
    }

    @Test
    void reserveGrowsWithDemandUpToALimit() {
        reserve.update(workers(0, 0), 10 * CAPACITY, 0);
        assertThat(memberCount(), equalTo(12));
        reserve.update(workers(0, 0), 90 * CAPACITY, 1_000);
        assertThat(memberCount(), equalTo(15));
    }

    @Test
    void reserveShrinksAfterTheDemandIsOver() {
        reserve.update(workers(0, 0), 10 * CAPACITY, 0);
        reserve.update(workers(0, 0), 0, 4_000);
        assertThat(memberCount(), greaterThanOrEqualTo(7));
        reserve.update(workers(0, 0), 0, 60_000);
        assertThat(memberCount(), equalTo(6));
    }

    @Test
    void workersWithFewestLongRunningTasksAreTaken() {
        reserve.update(workers(94, 50_000), 0, 0);
        for (int number = 94; number < WORKERS; number++) {
            assertThat(reserve.contains("w" + number), is(true));
        }
    }

    @Test
    void membersAreKeptAmongEquals() {
        reserve.update(workers(0, 0), 0, 0);
        List<String> before = members();
        reserve.update(workers(0, 0), 10 * CAPACITY, 1_000);
        reserve.update(workers(0, 0), 0, 60_000);
        assertThat(members(), equalTo(before));
    }

    /**
     * Creates the workers.
     *
     * @param busyCount the number of workers with long-running tasks, from the first
     * @param longRunningMillicores the CPU that these tasks reserve on each, in millicores
     * @return the workers
     */
    private static List<ReserveCandidate> workers(int busyCount, long longRunningMillicores) {
        List<ReserveCandidate> workers = new ArrayList<>();
        for (int number = 0; number < WORKERS; number++) {
            workers.add(
                    new ReserveCandidate(
                            "w" + number,
                            CAPACITY,
                            number < busyCount ? longRunningMillicores : 0));
        }
        return workers;
    }

    /**
     * Returns the workers in the reserve.
     *
     * @return their identifiers in the order of their numbers
     */
    private List<String> members() {
        return workers(0, 0).stream().map(ReserveCandidate::id).filter(reserve::contains).toList();
    }

    /**
     * Returns the size of the reserve, and checks that it counts only known workers.
     *
     * @return the number of workers
     */
    private int memberCount() {
        assertThat(reserve.size(), equalTo(members().size()));
        return reserve.size();
    }
}
