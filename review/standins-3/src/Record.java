import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, one line an event, in the order of time. */
final class Record {

    /** The time at which the record began, on the monotonic clock, in nanoseconds. */
    private final long begin = System.nanoTime();

    private final PrintWriter out;

    /** Creates a record that replaces an earlier one in the file. */
    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the time since the record began, in milliseconds. */
    long now() {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    /** Adds an event. */
    void add(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        synchronized (out) {
            out.printf(Locale.ROOT, "%9.3f %s%n", now() / 1000.0, text);
        }
    }
}
