package org.damasktiller.scheduler.lookahead;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** Tests for which tasks room is kept, where, and what may start there meanwhile. */
final class ReservationPlannerTest {

    /** The current time, in milliseconds. */
    private static final long NOW = 1_000;

    /** The planner under test. */
    private final ReservationPlanner planner = new ReservationPlanner();

    @Test
    void workerThatHasTheRoomSoonestKeepsIt() {
        planner.update(
                List.of(need("large", 8)),
                List.of(worker("w0", 2, end(5_000, 6)), worker("w1", 2, end(3_000, 6))),
                NOW);
        assertThat(workers(), contains("w1"));
    }

    @Test
    void onlyTasksThatEndBeforeOrFitBesideMayStartThere() {
        planner.update(List.of(need("large", 8)), List.of(worker("w0", 4, end(3_000, 6))), NOW);
        assertThat(planner.admits("w0", "small", cores(4), 3_000), is(true));
        assertThat(planner.admits("w0", "small", cores(2), 9_000), is(true));
        assertThat(planner.admits("w0", "small", cores(3), 9_000), is(false));
        assertThat(planner.admits("w0", "large", cores(8), 9_000), is(true));
        assertThat(planner.admits("w1", "small", cores(3), 9_000), is(true));
    }

    @Test
    void roomBesideTheReservedTaskIsGivenOnce() {
        planner.update(List.of(need("large", 8)), List.of(worker("w0", 4, end(3_000, 6))), NOW);
        planner.onStarted("w0", "small", cores(2), 9_000);
        assertThat(planner.admits("w0", "small", cores(1), 9_000), is(false));
        assertThat(planner.admits("w0", "small", cores(1), 2_000), is(true));
    }

    @Test
    void reservationEndsWithTheStartOfItsTask() {
        planner.update(List.of(need("large", 8)), List.of(worker("w0", 2, end(3_000, 6))), NOW);
        planner.onStarted("w0", "large", cores(8), 9_000);
        assertThat(workers(), empty());
    }

    @Test
    void wrongEstimateMovesAReservationOnlyForAClearGain() {
        planner.update(
                List.of(need("large", 8)),
                List.of(worker("w0", 2, end(3_000, 6)), worker("w1", 2, end(4_000, 6))),
                NOW);
        List<WorkerForecast> slightlyLater =
                List.of(worker("w0", 2, end(4_200, 6)), worker("w1", 2, end(4_000, 6)));
        planner.update(List.of(need("large", 8)), slightlyLater, NOW);
        assertThat(workers(), contains("w0"));
        List<WorkerForecast> muchLater =
                List.of(worker("w0", 2, end(9_000, 6)), worker("w1", 2, end(4_000, 6)));
        planner.update(List.of(need("large", 8)), muchLater, NOW);
        assertThat(workers(), contains("w1"));
    }

    @Test
    void largestTasksComeFirstAndAFractionOfTheWorkersKeepsRoom() {
        List<WorkerForecast> forecasts = new ArrayList<>();
        for (int number = 0; number < 32; number++) {
            forecasts.add(worker("w" + number, 2, end(3_000, 6)));
        }
        planner.update(
                List.of(
                        new WaitingNeed("smaller", cores(7), 50, 9_000, id -> true),
                        new WaitingNeed("large", cores(8), 1, 100, id -> true)),
                forecasts,
                NOW);
        assertThat(planner.reservations(), hasSize(2));
        assertThat(
                planner.reservations().stream().anyMatch(kept -> kept.step().equals("large")),
                is(true));
    }

    @Test
    void noRoomIsKeptWhereItNeverComes() {
        planner.update(
                List.of(need("large", 8), new WaitingNeed("bound", cores(8), 1, 0, id -> false)),
                List.of(worker("w0", 2, end(3_000, 4)), worker("w1", 2, end(60_000, 6))),
                NOW);
        assertThat(workers(), empty());
    }

    /**
     * Returns the workers that keep room.
     *
     * @return their identifiers
     */
    private List<String> workers() {
        return planner.reservations().stream().map(Reservation::worker).toList();
    }

    /**
     * Creates a need of one task that any worker may run.
     *
     * @param step the name of the step
     * @param cores the cores of the task
     * @return the need
     */
    private static WaitingNeed need(String step, int cores) {
        return new WaitingNeed(step, cores(cores), 1, 500, id -> true);
    }

    /**
     * Creates a forecast.
     *
     * @param id the identifier of the worker
     * @param freeCores the free cores
     * @param ends the expected ends
     * @return the forecast
     */
    private static WorkerForecast worker(String id, int freeCores, ExpectedEnd... ends) {
        return new WorkerForecast(id, cores(freeCores), List.of(ends));
    }

    /**
     * Creates an expected end.
     *
     * @param atMillis the time, in milliseconds
     * @param cores the cores that it releases
     * @return the end
     */
    private static ExpectedEnd end(long atMillis, int cores) {
        return new ExpectedEnd(atMillis, cores(cores));
    }

    /**
     * Creates an amount of processors.
     *
     * @param cores the number of cores
     * @return the amount
     */
    private static Resources cores(int cores) {
        return new Resources(1_000L * cores, 0, 0);
    }
}
