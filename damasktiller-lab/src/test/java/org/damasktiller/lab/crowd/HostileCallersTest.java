package org.damasktiller.lab.crowd;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.apache.commons.math3.random.Well19937c;
import org.damasktiller.lab.load.SubmittedTaskBehaviour;
import org.damasktiller.lab.rig.EntryVmProcess;
import org.damasktiller.lab.rig.LabEventLoop;
import org.damasktiller.lab.rig.LocalDeployment;
import org.damasktiller.lab.rig.LocalDeploymentSettings;
import org.damasktiller.lab.rig.ProcessLimits;
import org.damasktiller.scheduler.model.IngressLimits;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Route;
import org.damasktiller.standin.fleet.RunInvariantChecker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the process of an entry VM outlasts crowds of hostile callers: it lives, its memory
 * and its descriptors stay under a bound, and an ordinary request is answered afterwards, while the
 * connections of the crowd are still open and after they are closed. Its heap and its descriptors
 * are smaller than in a deployment, so that a small crowd shows the fault.
 */
class HostileCallersTest {

    /** The heap of the process, in megabytes. */
    private static final int HEAP_MEGABYTES = 64;

    /** The descriptors of the process where the crowd is to use up its memory. */
    private static final int MANY_DESCRIPTORS = ProcessLimits.DEPLOYED.maximumDescriptors();

    /** The descriptors of the process where the crowd is to use them up. */
    private static final int FEW_DESCRIPTORS = 256;

    /** The memory of the smallest VM of the platform's pages, in megabytes. */
    private static final long SMALLEST_VM_MEGABYTES = 330;

    /** The largest memory: that of a deployed process beside its heap, and the heap. */
    private static final long MAX_MEMORY_MEGABYTES =
            SMALLEST_VM_MEGABYTES - ProcessLimits.DEPLOYED.heapMegabytes() + HEAP_MEGABYTES;

    /** The largest body that the manifest allows, in bytes. */
    private static final int MAX_BODY_BYTES = 262_144;

    /** The size of large bodies that are within the limit, in bytes. */
    private static final int LARGE_BODY_BYTES = 250_000;

    /** The size of bodies of many steps, whose records the store can hold, in bytes. */
    private static final int STEPS_BODY_BYTES = 180_000;

    /** The size of small bodies, in bytes. */
    private static final int SMALL_BODY_BYTES = 200;

    /** The idle timeout of the manifest, in milliseconds. */
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;

    /** The size of bodies in chunks of one byte, in bytes. */
    private static final int SMALL_CHUNKS_BODY_BYTES = 60_000;

    /** The number of callers in a crowd. */
    private static final int CALLERS = 400;

    /** The number of ordinary requests beside a crowd. */
    private static final int ORDINARY_REQUESTS = 3;

    private static final Route ROUTE =
            new Route(
                    "quick", "quick.test", "/quick/", LocalDeployment.SERVICE, 0, 3, 2, 500, false);

    private final LabEventLoop loop = new LabEventLoop("crowd-test", line -> {});

    @TempDir private Path directory;

    private LocalDeployment deployment;

    private EntryVmProcess entryVm;

    private OrdinaryCaller ordinaryCaller;

    @AfterEach
    void stopEntryVm() {
        deployment.kill();
        loop.close();
    }

    @Test
    void largeBodiesAtOnceDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.WHOLE_BODIES, LARGE_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void largeBodiesInPiecesDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.PIECES, LARGE_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void bodiesInLargeChunksDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.LARGE_CHUNKS, LARGE_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void bodiesInChunksOfOneByteDoNotHangTheProcess() throws IOException {
        assertOutlasts(HostileKind.SMALL_CHUNKS, SMALL_CHUNKS_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void bodiesThatAnnounceTooMuchDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.ANNOUNCED_TOO_LARGE, LARGE_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void bodiesThatSendTooMuchDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.SENT_TOO_LARGE, LARGE_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void largeHeadsDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.LARGE_HEADS, LARGE_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void largeHeadsBeforeBodiesDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.HEADS_BEFORE_BODIES, SMALL_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    @Tag("known-red")
    void compressedBodiesDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.COMPRESSED, LARGE_BODY_BYTES, MANY_DESCRIPTORS);
    }

    // One submission of 15,000 steps hung each entry VM in turn.
    @Test
    void submissionsOfVeryManyStepsDoNotHangTheProcess() throws IOException {
        assertOutlasts(HostileKind.MANY_STEPS, STEPS_BODY_BYTES, MANY_DESCRIPTORS);
    }

    // Thirty submissions of 9,000 steps ended each entry VM in turn, which ran out of memory.
    @Test
    void submissionsOfVeryManyLaterStepsDoNotEndTheProcess() throws IOException {
        assertOutlasts(HostileKind.MANY_LATER_STEPS, STEPS_BODY_BYTES, MANY_DESCRIPTORS);
    }

    @Test
    void connectionsThatStayOpenDoNotUseUpTheDescriptors() throws IOException {
        assertOutlasts(HostileKind.WHOLE_BODIES, SMALL_BODY_BYTES, FEW_DESCRIPTORS);
    }

    /**
     * Requires that a process outlasts a crowd.
     *
     * @param kind what the crowd sends
     * @param bodyBytes the size of its bodies, in bytes
     * @param descriptors the number of descriptors that the process may have open
     * @throws IOException if the process has ended
     */
    private void assertOutlasts(HostileKind kind, int bodyBytes, int descriptors)
            throws IOException {
        startEntryVm(new ProcessLimits(HEAP_MEGABYTES, descriptors));
        try (Crowd crowd = new Crowd(entryVm.callerAddress(), ROUTE, kind, CALLERS, bodyBytes)) {
            crowd.send();
            for (int number = 0; number < ORDINARY_REQUESTS; number++) {
                assertThat("a request beside the crowd", ordinaryCaller.submit(), is(true));
            }
            assertWithinBounds(descriptors);
        }
        assertThat("a request after the crowd", ordinaryCaller.submit(), is(true));
        assertWithinBounds(descriptors);
    }

    /**
     * Requires that the process lives, and that its memory and descriptors are under their bounds.
     *
     * @param descriptors the number of descriptors that the process may have open
     * @throws IOException if the process has ended
     */
    private void assertWithinBounds(long descriptors) throws IOException {
        assertThat("the process lives", entryVm.isAlive(), is(true));
        assertThat(Files.readString(entryVm.logFile()), not(containsString("OutOfMemoryError")));
        assertThat(
                "memory in megabytes",
                ProcessUsage.peakMegabytes(entryVm.processId()),
                lessThanOrEqualTo(MAX_MEMORY_MEGABYTES));
        assertThat(
                "descriptors",
                ProcessUsage.descriptors(entryVm.processId()),
                lessThanOrEqualTo(descriptors));
    }

    /**
     * Starts a deployment of one entry VM and waits until it accepts submissions.
     *
     * @param limits the heap and the descriptors of the process
     */
    private void startEntryVm(ProcessLimits limits) {
        deployment = createDeployment(limits);
        loop.await(
                published -> {
                    deployment.publishManifest(
                            new Manifest(
                                    1,
                                    List.of(ROUTE),
                                    Set.of(LocalDeployment.SERVICE),
                                    new IngressLimits(MAX_BODY_BYTES, IDLE_TIMEOUT_MILLIS)),
                            List.of(ROUTE));
                    published.complete(null);
                });
        deployment.start();
        entryVm = deployment.entryVms().get(0);
        ordinaryCaller = new OrdinaryCaller(entryVm.callerAddress(), ROUTE);
        assertThat("a request before the crowd", ordinaryCaller.submit(), is(true));
    }

    /**
     * Creates a deployment of one entry VM, which is not started.
     *
     * @param limits the heap and the descriptors of the process
     * @return the deployment
     */
    private LocalDeployment createDeployment(ProcessLimits limits) {
        LocalDeploymentSettings settings =
                LocalDeploymentSettings.builder(directory)
                        .entryVms(1)
                        .workers(3)
                        .capacity(new Resources(16_000, 64_000, 0))
                        .limits(limits)
                        .build();
        return loop.await(
                created ->
                        created.complete(
                                new LocalDeployment(
                                        loop,
                                        settings,
                                        new SubmittedTaskBehaviour(new Well19937c(1), 0),
                                        new RunInvariantChecker(1),
                                        new Well19937c(1))));
    }
}
