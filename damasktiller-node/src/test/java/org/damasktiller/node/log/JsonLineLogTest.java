package org.damasktiller.node.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.lessThan;

import java.io.ByteArrayOutputStream;
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
    void linesAreBoundedPerKindAndOthersStillPass() throws InterruptedException {
        Clock clock = Clock.fixed(Instant.ofEpochMilli(1_000_000), ZoneOffset.UTC);
        JsonLineLog log = new JsonLineLog("node-1", clock);
        for (int line = 0; line < 10_000; line++) {
            log.log("often", "number", line);
        }
        log.log("seldom", "id", "\"quoted\"");
        Written written = new Written("seldom");
        log.start(written);
        written.found.await();
        String text = written.text();
        assertThat(text.lines().filter(line -> line.contains("often")).count(), lessThan(401L));
        assertThat(text, containsString("\"id\":\"\\\"quoted\\\"\""));
        assertThat(text, containsString("\"node\":\"node-1\""));
    }

    /** Collects the output and signals when it contains a given text. */
    private static final class Written extends OutputStream {

        /** The output so far. */
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        /** The text to wait for. */
        private final String wanted;

        /** Counted down once the output contains the text. */
        private final CountDownLatch found = new CountDownLatch(1);

        /**
         * Creates a stream.
         *
         * @param wanted the text to wait for
         */
        Written(String wanted) {
            this.wanted = wanted;
        }

        @Override
        public synchronized void write(int value) {
            bytes.write(value);
        }

        @Override
        public synchronized void flush() {
            if (text().contains(wanted)) {
                found.countDown();
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
