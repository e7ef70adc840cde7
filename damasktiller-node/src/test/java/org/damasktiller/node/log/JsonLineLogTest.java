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

/** Tests the bounds of the log. */
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

    /** Keeps what is written and tells when a text was. */
    private static final class Written extends OutputStream {

        /** What was written. */
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        /** The text to wait for. */
        private final String wanted;

        /** Open once the text was written. */
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
         * Returns what was written.
         *
         * @return the text
         */
        synchronized String text() {
            return bytes.toString(StandardCharsets.UTF_8);
        }
    }
}
