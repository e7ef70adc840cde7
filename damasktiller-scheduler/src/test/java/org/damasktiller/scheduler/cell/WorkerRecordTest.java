package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.WorkerEntry;
import org.junit.jupiter.api.Test;

/** Tests what an owner concludes of a worker from its answers. */
class WorkerRecordTest {

    private static final int RUN_BASE = 2_000;

    private final WorkerRecord worker =
            new WorkerRecord(
                    new WorkerEntry(
                            "w0",
                            "dispatch",
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                            "zone-1",
                            false,
                            0,
                            new Resources(8_000, 8_000, 0),
                            List.of(),
                            1),
                    0);

    /**
     * A worker that began a new life has forgotten every fence; an owner that has not heard of it
     * for longer may have a successor, and must start nothing there.
     */
    @Test
    void workerThatHasNotAnsweredForASecondGetsNoNewWork() {
        worker.fenced = true;
        worker.enrolled = true;
        worker.provenClockMillis = 1;
        worker.answeredAtMillis = 5_000;
        assertThat(worker.usable(6_000), is(true));
        assertThat(worker.usable(6_001), is(false));
    }

    /** A former owner may start a task again until it is settled, so its end is not forgotten. */
    @Test
    void endOfAFormerOwnersRunIsAcknowledgedOnceThatOwnerIsSettled() {
        worker.pendingEnds.add(new PendingEnd(7, 1_001, null, 0));
        worker.pendingEnds.add(new PendingEnd(8, 2_001, null, 0));
        worker.advanceAcknowledgement(false, RUN_BASE);
        assertThat(worker.acknowledgedSequence, is(0L));
        worker.advanceAcknowledgement(true, RUN_BASE);
        assertThat(worker.acknowledgedSequence, is(8L));
    }

    @Test
    void endOfItsOwnRunIsAcknowledgedAtOnce() {
        worker.pendingEnds.add(new PendingEnd(7, 2_001, null, 0));
        worker.advanceAcknowledgement(false, RUN_BASE);
        assertThat(worker.acknowledgedSequence, is(7L));
    }
}
