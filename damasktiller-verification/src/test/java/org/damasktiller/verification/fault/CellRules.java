package org.damasktiller.verification.fault;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.damasktiller.authority.cell.JobState;
import org.damasktiller.authority.cell.JobStatus;
import org.damasktiller.identity.JobId;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.ReportedChange;
import org.damasktiller.standin.worker.Run;
import org.damasktiller.standin.worker.RunEnd;
import org.damasktiller.standin.worker.WorkerObserver;
import org.damasktiller.table.Repeat;

/** Checks the promises to callers against the record of the stand-in workers. */
final class CellRules {

    private final CellHarness harness;

    private final List<SimulatedCaller> callers;

    private final WorkerObserver observer;

    private final List<String> broken = new ArrayList<>();

    CellRules(CellHarness harness, List<SimulatedCaller> callers) {
        this.harness = harness;
        this.callers = callers;
        this.observer = harness.observer();
    }

    List<String> broken() {
        Set<String> repeatable =
                callers.stream()
                        .filter(each -> each.submission().repeat() == Repeat.IDEMPOTENT)
                        .map(each -> each.submission().task().payload())
                        .collect(Collectors.toSet());
        observer.violations(repeatable::contains).forEach(each -> broken.add(each.toString()));
        callers.forEach(this::checkCaller);
        checkEnds();
        return broken;
    }

    private void checkCaller(SimulatedCaller caller) {
        String payload = caller.submission().task().payload();
        List<Run> runs =
                observer.allRuns().stream().filter(run -> run.payload().equals(payload)).toList();
        require(caller.done(), "never ended: " + caller.describe());
        require(caller.seen().size() <= 1, "several jobs for one key: " + caller.seen());
        require(
                runs.stream().map(run -> run.attempt().job()).distinct().count() <= 1,
                "several jobs of one key ran: " + runs);
        require(!caller.gaveUp() || runs.isEmpty(), "NOT_RUN is not true: " + runs);
        boolean once = caller.submission().repeat() == Repeat.AT_MOST_ONCE;
        require(!once || runs.size() <= 1, "at-most-once job ran again: " + runs);
        caller.last().ifPresent(status -> checkEnd(caller, status, runs));
    }

    private void checkEnd(SimulatedCaller caller, JobStatus status, List<Run> runs) {
        long successes = runs.stream().filter(run -> run.end() == RunEnd.SUCCEEDED).count();
        boolean fails = caller.submission().task().payload().contains("fail");
        Repeat repeat = caller.submission().repeat();
        boolean legal =
                switch (status.state()) {
                    case SUCCEEDED -> successes >= 1;
                    case FAILED -> fails && !runs.isEmpty();
                    case CANCELLED_BEFORE_START -> caller.cancelWanted() && runs.isEmpty();
                    case CANCELLED_AFTER_START -> caller.cancelWanted();
                    case OUTCOME_UNKNOWN -> repeat == Repeat.AT_MOST_ONCE;
                    default -> true;
                };
        require(legal, "wrong end: " + caller.describe() + " runs " + runs);
        boolean stillRuns = runs.stream().anyMatch(run -> run.end() == RunEnd.NONE);
        require(
                !(status.state().ended() && stillRuns),
                "ended but still running: " + caller.describe() + " runs " + runs);
    }

    private void checkEnds() {
        Map<JobId, JobState> ends = new HashMap<>();
        for (ReportedChange change : harness.changes()) {
            JobStatus status = change.status();
            if (status.state().ended()) {
                JobState before = ends.put(status.job(), status.state());
                require(before == null, "ended twice: " + status + " was " + before);
                List<Run> later =
                        observer.runsOf(status.job()).stream()
                                .filter(run -> run.startMillis() > change.atMillis())
                                .toList();
                require(later.isEmpty(), "started after its end: " + status + " " + later);
            }
        }
    }

    private void require(boolean holds, String message) {
        if (!holds) {
            broken.add(message);
        }
    }
}
