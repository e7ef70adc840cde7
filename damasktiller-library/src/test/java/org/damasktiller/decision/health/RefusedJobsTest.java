package org.damasktiller.decision.health;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.Optional;
import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.junit.jupiter.api.Test;

class RefusedJobsTest {

    private static final ZoneName NEAR = new ZoneName("near");

    private static final ZoneName FAR = new ZoneName("far");

    private static final Resources SMALL = new Resources(16_000, 60_000, 0);

    private static final Resources LARGE = new Resources(64_000, 250_000, 1);

    private final FleetLimits limits = new FleetLimits();

    private final RefusedJobs refused = new RefusedJobs(limits);

    @Test
    void testImpossibleJobIsRefusedWithTheReasonAndExaminedAgain() {
        limits.add(NEAR, SMALL);
        limits.add(FAR, LARGE);
        PendingJob job = job(LARGE);
        assertThat(refused.examine(job, List.of()), is(Optional.empty()));
        Optional<String> reason = refused.examine(job, List.of(NEAR));
        assertThat(reason.orElse(""), containsString("64000"));
        assertThat(refused.reason(job.id()), is(reason.orElse("")));
        assertThat(refused.examineAgain(kind -> List.of(NEAR)), is(empty()));
        limits.add(NEAR, LARGE);
        assertThat(refused.examineAgain(kind -> List.of(NEAR)), is(List.of(job)));
        assertThat(refused.reason(job.id()), is(nullValue()));
    }

    @Test
    void testChangedPlacesOfTheTableLetAJobRun() {
        limits.add(NEAR, SMALL);
        limits.add(FAR, LARGE);
        PendingJob job = job(LARGE);
        assertThat(refused.examine(job, List.of(NEAR)).isPresent(), is(true));
        assertThat(refused.examineAgain(kind -> List.of(NEAR, FAR)), is(List.of(job)));
    }

    @Test
    void testRemovedWorkersNoLongerCount() {
        limits.add(NEAR, LARGE);
        limits.add(NEAR, LARGE);
        limits.remove(NEAR, LARGE);
        assertThat(refused.examine(job(LARGE), List.of(NEAR)), is(Optional.empty()));
        limits.remove(NEAR, LARGE);
        assertThat(refused.examine(job(SMALL), List.of(NEAR)).isPresent(), is(true));
        assertThat(refused.cancel(new JobId("j")), is(true));
    }

    private static PendingJob job(Resources size) {
        return new PendingJob(new JobId("j"), new KindName("k"), size, 0);
    }
}
