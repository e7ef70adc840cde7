package org.damasktiller.verification.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.atomic.AtomicInteger;
import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.JobAnswer;
import org.damasktiller.authority.cell.StoreRequest;
import org.damasktiller.authority.cell.Submit;
import org.damasktiller.resource.Resources;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.CellHarness;
import org.damasktiller.standin.cell.HarnessTimes;
import org.damasktiller.table.Repeat;
import org.junit.jupiter.api.Test;

class BurstWritesTest {

    private static final int JOBS = 3_000;

    private static final double TARGET_WRITES_PER_JOB = 0.05;

    private final AtomicInteger writes = new AtomicInteger();

    private final AtomicInteger accepted = new AtomicInteger();

    private final CellHarness harness =
            new CellHarness(
                    CellSettings.DEFAULT, HarnessTimes.DEFAULT, (owner, call) -> count(call));

    @Test
    void testBurstOfThousandJobsASecondKeepsWithinWriteBudget() {
        harness.addWorker("w1", new Resources(1_000_000, 1_000_000, 0));
        harness.addWorker("w2", new Resources(1_000_000, 1_000_000, 0));
        harness.addOwner("vm1");
        pass(2_000);
        writes.set(0);
        for (int index = 0; index < JOBS; index++) {
            String key = "k" + index;
            harness.clock().after(index, () -> submit(key));
        }
        pass(JOBS + 2_000);
        assertThat(accepted.get(), is(JOBS));
        assertThat((double) writes.get() / JOBS, lessThanOrEqualTo(TARGET_WRITES_PER_JOB));
    }

    private void submit(String key) {
        harness.ask(
                harness.active().orElseThrow(),
                id -> new Submit(id, Submissions.of(key, Repeat.RESUMABLE, 100, 1_000)),
                reply -> accepted.addAndGet(reply instanceof JobAnswer ? 1 : 0));
    }

    private CallFault count(CellAction call) {
        if (call instanceof StoreRequest request && request.call() instanceof SwapCall) {
            writes.incrementAndGet();
        }
        return CallFault.NONE;
    }

    private void pass(long millis) {
        harness.clock().run(harness.clock().nowMillis() + millis, () -> false);
    }
}
