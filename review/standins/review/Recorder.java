package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case, with the time since its start. */
final class Recorder implements AutoCloseable {

    private final long startNanos = System.nanoTime();

    private final PrintWriter writer;

    Recorder(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns the milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes one line. */
    synchronized void line(String format, Object... arguments) {
        writer.printf(
                Locale.ROOT, "%8.3f %s%n", now() / 1000.0, String.format(format, arguments));
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
