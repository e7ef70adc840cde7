package org.damasktiller.decision.interference;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.damasktiller.decision.KindIndex;
import org.damasktiller.decision.placement.PlacementIndex;
import org.damasktiller.decision.placement.PlacementRequest;
import org.damasktiller.decision.placement.WorkerSpec;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.junit.jupiter.api.Test;

class HarmScoreTest {

    private static final KindName SERVICE = new KindName("dispatch");

    private static final KindName NOISY = new KindName("noisy");

    private static final Resources SIZE = new Resources(4000, 1000, 0);

    private final KindIndex kinds = new KindIndex();

    private final PlacementIndex index = new PlacementIndex(kinds, new SplittableRandom(3), 8);

    private final InterferenceEstimator estimator = new InterferenceEstimator();

    private final HarmScore score =
            new HarmScore(estimator, new HarmSettings(0.15, 0, 0.02, 0.1), new SplittableRandom(4));

    @Test
    void testHarmfulKindIsKeptAwayFromTheGuardedService() {
        addWorker("guarded");
        addWorker("free");
        index.reserve(new JobId("s"), SERVICE, new WorkerId("guarded"), SIZE);
        score.guard(kinds.number(SERVICE), true);
        learn(1.5);
        assertThat(choose(), is(Optional.of(new WorkerId("free"))));
        index.removeWorker(new WorkerId("free"));
        assertThat(choose(), is(Optional.empty()));
        learn(1.0);
        assertThat(choose(), is(Optional.of(new WorkerId("guarded"))));
    }

    private void learn(double slowdown) {
        WorkerId other = new WorkerId("other");
        int noisy = kinds.number(NOISY);
        estimator.loadChanged(other, noisy, 0.4, 0);
        for (long now = 10_000; now < 2_000_000; now += 10_000) {
            estimator.observe(
                    new SlowdownReport(other, kinds.number(SERVICE), slowdown, now - 9000, now),
                    now);
        }
        estimator.loadChanged(other, noisy, -0.4, 0);
    }

    private Optional<WorkerId> choose() {
        PlacementRequest request =
                new PlacementRequest(new JobId("n"), NOISY, SIZE, Resources.NONE, List.of());
        return index.choose(request, score).worker();
    }

    private void addWorker(String id) {
        index.addWorker(
                new WorkerSpec(
                        new WorkerId(id),
                        new ZoneName("z"),
                        new RackName("r"),
                        new Resources(16_000, 60_000, 0)));
    }
}
