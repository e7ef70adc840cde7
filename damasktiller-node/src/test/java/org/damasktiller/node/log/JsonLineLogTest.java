package org.damasktiller.node.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.lessThan;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests the rate limit of the log and the form of its lines. */
final class JsonLineLogTest {

    @Test
    void linesAreLimitedPerEventAndOthersAreWritten() throws InterruptedException {
        Clock clock = Clock.fixed(Instant.ofEpochMilli(1_000_000), ZoneOffset.UTC);
        JsonLineLog log = new JsonLineLog("node-1", clock);
        for (int line = 0; line < 10_000; line++) {
            log.log("often", "number", line);
        }
        log.log("seldom", "id", "\"quoted\"");
        CapturingOutput output = new CapturingOutput("seldom");
        log.start(output);
        output.expectedTextWritten.await();
        String text = output.text();
        assertThat(text.lines().filter(line -> line.contains("often")).count(), lessThan(401L));
        assertThat(text, containsString("\"id\":\"\\\"quoted\\\"\""));
        assertThat(text, containsString("\"node\":\"node-1\""));
    }

    /** The output may fail for a moment, for example on a full disk; later lines are written. */
    @Test
    void logGoesOnAfterTheOutputHasFailed() throws InterruptedException {
        Clock clock = Clock.fixed(Instant.ofEpochMilli(1_000_000), ZoneOffset.UTC);
        JsonLineLog log = new JsonLineLog("node-1", clock);
        CapturingOutput output = new CapturingOutput("later");
        CountDownLatch failed = new CountDownLatch(1);
        log.log("earlier");
        log.start(
                new OutputStream() {
                    @Override
                    public void write(int value) throws IOException {
                        if (failed.getCount() > 0) {
                            failed.countDown();
                            throw new IOException("no space left");
                        }
                        output.write(value);
                    }

                    @Override
                    public void flush() {
                        output.flush();
                    }
                });
        failed.await();
        log.log("later");
        output.expectedTextWritten.await();
        assertThat(output.text(), containsString("\"event\":\"later\""));
    }

    /** Collects the output and signals when it contains a given text. */
    private static final class CapturingOutput extends OutputStream {

        /** The output so far. */
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        /** The text to wait for. */
        private final String expectedText;

        /** Counted down once the output contains the text. */
        private final CountDownLatch expectedTextWritten = new CountDownLatch(1);

        /**
         * Creates a stream.
         *
         * @param expectedText the text to wait for
         */
        CapturingOutput(String expectedText) {
            this.expectedText = expectedText;
        }

        @Override
        public synchronized void write(int value) {
            bytes.write(value);
        }

        @Override
        public synchronized void flush() {
            if (text().contains(expectedText)) {
                expectedTextWritten.countDown();
            }
        }

        /**
         * Returns the output so far.
         *
         * @return the output, decoded from UTF-8
         */
        synchronized String text() {
            return bytes.toString(StandardCharsets.UTF_8);
        }
    }
}
