package org.damasktiller.node.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.damasktiller.scheduler.port.DecisionLog;

/**
 * Writes log events as lines of JSON. A bounded queue passes the lines to a writer thread, so that
 * an output that blocks never blocks the event loop. The lines of each event name are rate-limited.
 * Lines over the limit and lines that do not fit into the queue are dropped and counted, and the
 * count is logged.
 */
public final class JsonLineLog implements DecisionLog {

    /** The maximum number of lines of one event name in a window. */
    private static final int MAX_LINES_PER_WINDOW = 400;

    /** The maximum number of lines in the queue. */
    private static final int QUEUE_CAPACITY_LINES = 4_096;

    /** The length of a rate limit's window, in milliseconds. */
    private static final long WINDOW_MILLIS = 1_000;

    /** Creates a JSON generator for each line. */
    private static final JsonFactory FACTORY = new JsonFactory();

    /** The lines that are not written yet. */
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);

    /** The number of lines in the current window by event name. */
    private final Map<String, Integer> linesInWindow = new HashMap<>();

    /** The wall clock. */
    private final Clock clock;

    /** The name of the VM, a field of each line. */
    private final String node;

    /** The start of the current window, in milliseconds since 1970. */
    private long windowStartMillis;

    /** The number of lines dropped since a count was last logged. */
    private int droppedLines;

    /** The number of lines that the output did not take since a count was last logged. */
    private final AtomicInteger unwrittenLines = new AtomicInteger();

    /** Whether the last write failed; used by the writer thread only. */
    private boolean outputFails;

    /**
     * Creates a log whose lines stay in the queue until it is started. All events must be logged on
     * one thread.
     *
     * @param node the name of the VM, a field of each line
     * @param clock the wall clock
     */
    public JsonLineLog(String node, Clock clock) {
        this.node = node;
        this.clock = clock;
    }

    /**
     * Starts the writer thread.
     *
     * @param output the stream to write to, flushed after each batch of lines
     */
    public void start(OutputStream output) {
        Thread thread = new Thread(() -> writeQueuedLines(output), "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void log(String event, Object... fields) {
        long nowMillis = clock.millis();
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS || nowMillis < windowStartMillis) {
            windowStartMillis = nowMillis;
            linesInWindow.clear();
            int count = droppedLines + unwrittenLines.getAndSet(0);
            if (count > 0) {
                droppedLines = 0;
                enqueue(formatLine(nowMillis, "log.left-out", "lines", count));
            }
        }
        if (linesInWindow.merge(event, 1, Integer::sum) > MAX_LINES_PER_WINDOW) {
            droppedLines++;
        } else {
            enqueue(formatLine(nowMillis, event, fields));
        }
    }

    /**
     * Adds a line to the queue, or drops and counts it if the queue is full.
     *
     * @param line the line with its line break
     */
    private void enqueue(String line) {
        if (!queue.offer(line)) {
            droppedLines++;
        }
    }

    /**
     * Formats an event as a line of JSON.
     *
     * @param nowMillis the wall-clock time, in milliseconds since 1970
     * @param event the name of the event
     * @param fields alternating names and values
     * @return the line with its line break
     */
    private String formatLine(long nowMillis, String event, Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeNumberField("time", nowMillis);
            generator.writeStringField("node", node);
            generator.writeStringField("event", event);
            for (int index = 0; index + 1 < fields.length; index += 2) {
                writeField(generator, String.valueOf(fields[index]), fields[index + 1]);
            }
            generator.writeEndObject();
        } catch (IOException exception) {
            return "{\"event\":\"log.failed\"}\n";
        }
        return text.append('\n').toString();
    }

    /**
     * Writes one field of a line; a value that is neither a number nor a boolean becomes a string.
     *
     * @param generator the generator of the line
     * @param name the name of the field
     * @param value the value of the field
     * @throws IOException never, because the generator writes to memory
     */
    private static void writeField(JsonGenerator generator, String name, Object value)
            throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            generator.writeNumberField(name, ((Number) value).longValue());
        } else if (value instanceof Double number) {
            generator.writeNumberField(name, number);
        } else if (value instanceof Boolean flag) {
            generator.writeBooleanField(name, flag);
        } else {
            generator.writeStringField(name, String.valueOf(value));
        }
    }

    /**
     * Runs the writer thread: writes queued lines until it is interrupted.
     *
     * @param output the stream to write to
     */
    private void writeQueuedLines(OutputStream output) {
        List<String> lines = new ArrayList<>();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                lines.add(queue.take());
                queue.drainTo(lines);
                write(output, lines);
                lines.clear();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Writes lines. Lines that the output does not take are counted as dropped, and the first
     * failure after a success is reported on the standard error stream.
     *
     * @param output the stream to write to
     * @param lines the lines with their line breaks
     */
    private void write(OutputStream output, List<String> lines) {
        try {
            output.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
            output.flush();
            outputFails = false;
        } catch (IOException exception) {
            unwrittenLines.addAndGet(lines.size());
            if (!outputFails) {
                outputFails = true;
                System.err.println("can't write the log: " + exception);
            }
        }
    }
}
