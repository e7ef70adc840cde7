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
import org.damasktiller.scheduler.port.DecisionLog;

/**
 * Writes decisions as JSON lines. Lines go through a bounded queue to a thread of their own, so
 * that a reader that stands still never blocks the event loop. Each kind of event has a budget of
 * lines a second; what goes beyond it or does not fit the queue is counted, and the count is
 * written.
 */
public final class JsonLineLog implements DecisionLog {

    /** The most lines of one kind of event in a second. */
    private static final int LINES_PER_SECOND = 400;

    /** The most lines that wait to be written. */
    private static final int QUEUE_LINES = 4_096;

    /** The length of a budget's window, in milliseconds. */
    private static final long WINDOW_MILLIS = 1_000;

    /** Makes the lines. */
    private static final JsonFactory FACTORY = new JsonFactory();

    /** The lines that wait. */
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

    /** The number of lines of each kind in the present window. */
    private final Map<String, Integer> used = new HashMap<>();

    /** The time of day. */
    private final Clock clock;

    /** The name of the VM, part of each line. */
    private final String node;

    /** When the present window began, in milliseconds since 1970. */
    private long windowBegan;

    /** How many lines were left out since the last line that said so. */
    private int leftOut;

    /**
     * Creates a log. Used on one thread.
     *
     * @param node the name of the VM
     * @param clock the time of day
     */
    public JsonLineLog(String node, Clock clock) {
        this.node = node;
        this.clock = clock;
    }

    /**
     * Starts to write.
     *
     * @param output where the lines go
     */
    public void start(OutputStream output) {
        Thread thread = new Thread(() -> write(output), "log");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void log(String event, Object... fields) {
        long now = clock.millis();
        if (now - windowBegan >= WINDOW_MILLIS || now < windowBegan) {
            windowBegan = now;
            used.clear();
            if (leftOut > 0) {
                int count = leftOut;
                leftOut = 0;
                offer(line(now, "log.left-out", "lines", count));
            }
        }
        if (used.merge(event, 1, Integer::sum) > LINES_PER_SECOND) {
            leftOut++;
        } else {
            offer(line(now, event, fields));
        }
    }

    /**
     * Puts a line into the queue, or counts it if the queue is full.
     *
     * @param line the line
     */
    private void offer(String line) {
        if (!queue.offer(line)) {
            leftOut++;
        }
    }

    /**
     * Makes a line.
     *
     * @param now the time, in milliseconds since 1970
     * @param event the kind of the event
     * @param fields names and values by turns
     * @return the line
     */
    private String line(long now, String event, Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeNumberField("time", now);
            generator.writeStringField("node", node);
            generator.writeStringField("event", event);
            for (int index = 0; index + 1 < fields.length; index += 2) {
                write(generator, String.valueOf(fields[index]), fields[index + 1]);
            }
            generator.writeEndObject();
        } catch (IOException exception) {
            return "{\"event\":\"log.failed\"}\n";
        }
        return text.append('\n').toString();
    }

    /**
     * Writes a field.
     *
     * @param generator makes the line
     * @param name the name
     * @param value the value
     * @throws IOException never, since the line goes to memory
     */
    private static void write(JsonGenerator generator, String name, Object value)
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
     * Writes the lines that wait, as long as the process lives.
     *
     * @param output where the lines go
     */
    private void write(OutputStream output) {
        List<String> lines = new ArrayList<>();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                lines.add(queue.take());
                queue.drainTo(lines);
                output.write(String.join("", lines).getBytes(StandardCharsets.UTF_8));
                output.flush();
                lines.clear();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (IOException exception) {
            System.err.println("the log can't be written: " + exception);
        }
    }
}
