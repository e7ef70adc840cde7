package org.damasktiller.node.intake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests how bodies are read, and what they hold. */
class IncomingBodyTest {

    private static final IntakeLimits LIMITS =
            new IntakeLimits(1 << 20, 1 << 19, 100, 10_000, 60_000);

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final IntakeBudget budget = new IntakeBudget(LIMITS, runtime);

    private final BodyReader reader = new BodyReader(budget, runtime, (event, fields) -> {});

    private Eventloop eventloop;

    @BeforeEach
    void enterReactor() {
        eventloop = Eventloop.builder().withCurrentThread().build();
    }

    @AfterEach
    void leaveReactor() {
        eventloop.run();
    }

    @Test
    void bodyInPartsOfOneByteIsReadInTurnsAndTakesTheRoomOfItsBytes() {
        String text = "x".repeat(5_000);
        IncomingBody body = read(text, 1, 0, 10_000);
        assertThat("beyond one interval", body.result().isComplete(), is(false));
        assertThat(budget.usedBytes() <= (16 << 10) + 8_192, is(true));
        runtime.advance(100);

        assertThat(new String(body.result().getResult(), StandardCharsets.US_ASCII), equalTo(text));
    }

    @Test
    void smallBodyInOnePartDoesNotWaitForBodiesInManyParts() {
        for (int number = 0; number < 5; number++) {
            read("x".repeat(5_000), 1, 0, 10_000);
        }
        IncomingBody body = read("x".repeat(40), 40, 40, 10_000);

        assertThat("whole body is there", body.result().isComplete(), is(true));
        runtime.advance(1_000);
    }

    @Test
    void memoryIsHeldUntilTheRequestHasResponse() {
        IncomingBody body = read("x".repeat(1_000), 500, 1_000, 10_000);
        assertThat(body.result().getResult().length, is(1_000));
        assertThat(budget.usedBytes(), is(4_000L));
        body.release();

        assertThat(budget.usedBytes(), is(0L));
    }

    @Test
    void bodyThatAnnouncesTooMuchIsRejectedBeforeItArrives() {
        IncomingBody body = read("x".repeat(100), 10, 1 << 30, 10_000);

        assertThat(rejection(body), is(BodyRejection.TOO_LARGE));
        assertThat(budget.usedBytes(), is(0L));
    }

    @Test
    void bodyThatSendsTooMuchIsRejected() {
        IncomingBody body = read("x".repeat(10_001), 1_000, 0, 10_000);

        assertThat(rejection(body), is(BodyRejection.TOO_LARGE));
        assertThat(budget.usedBytes(), is(0L));
    }

    @Test
    void bodyThatArrivedWithItsHeadCountsAsWell() {
        IncomingBody body = reader.readWhole("/path", new byte[1_000], 1_000, 3_000);
        assertThat(body.result().getResult().length, is(1_000));
        assertThat(budget.usedBytes(), is(4_000L));
        IncomingBody large = reader.readWhole("/path", new byte[1_001], 1_000, 3_000);

        assertThat(rejection(large), is(BodyRejection.TOO_LARGE));
        assertThat(budget.usedBytes(), is(4_000L));
    }

    @Test
    void bodyOfTheLargestSizeIsRead() {
        IncomingBody body = read("x".repeat(10_000), 1_000, 10_000, 10_000);

        assertThat(body.result().getResult().length, is(10_000));
    }

    @Test
    void completeBodyForWhichThereIsNoRoomIsRejectedAtOnce() {
        IncomingBody body = read("x".repeat(200_000), 1_000, 0, 1 << 20);

        assertThat(rejection(body), is(BodyRejection.NO_ROOM));
        assertThat(budget.usedBytes(), is(0L));
    }

    /** Reads a body in parts of a size. */
    private IncomingBody read(String text, int partBytes, long announcedBytes, int maxBytes) {
        List<ByteBuf> parts = new ArrayList<>();
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        for (int offset = 0; offset < bytes.length; offset += partBytes) {
            parts.add(ByteBuf.wrap(bytes, offset, Math.min(bytes.length, offset + partBytes)));
        }
        return reader.read(
                "/path",
                ChannelSuppliers.ofList(parts),
                announcedBytes,
                maxBytes,
                runtime.nowMillis() + 3_000);
    }

    /** Returns why a body was rejected. */
    private static BodyRejection rejection(IncomingBody body) {
        Exception error = body.result().getException();
        assertThat(error, instanceOf(BodyRejectedException.class));
        return ((BodyRejectedException) error).rejection();
    }
}
