package org.damasktiller.lab.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.lab.settings.Settings;
import org.jspecify.annotations.Nullable;

/**
 * Reads log files of entry VMs and merges their lines. Lines without a log event, such as output of
 * the JVM, are skipped, and so is any prefix that a log collector adds before the JSON object.
 */
public final class LogReader {

    /** Parses the JSON object of a line. */
    private final ObjectMapper mapper = JsonMapper.builder().build();

    /** Creates a reader. */
    public LogReader() {}

    /**
     * Reads log files.
     *
     * @param files the paths of the files, which may belong to different VMs
     * @return the lines of all files, in the order of their times
     * @throws org.damasktiller.error.DamasktillerException with code BAD_SETTING if a file cannot
     *     be read
     */
    public LogLines read(List<Path> files) {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            try {
                for (String text : Files.readString(file, StandardCharsets.UTF_8).split("\n")) {
                    LogLine line = parseLine(text);
                    if (line != null) {
                        lines.add(line);
                    }
                }
            } catch (IOException exception) {
                throw Settings.invalidValue(
                        "--log", file.toString(), "a readable log file", exception);
            }
        }
        lines.sort(Comparator.comparingLong(LogLine::unixMillis));
        return new LogLines(lines);
    }

    /**
     * Parses a line.
     *
     * @param text the text of the line
     * @return the parsed line, or null if the text has no log event
     */
    private @Nullable LogLine parseLine(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return null;
        }
        JsonNode node;
        try {
            node = mapper.readTree(text.substring(start));
        } catch (JsonProcessingException exception) {
            return null;
        }
        if (!node.path("time").isIntegralNumber() || !node.path("event").isTextual()) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        node.properties().forEach(field -> fields.put(field.getKey(), toText(field.getValue())));
        fields.keySet().removeAll(Set.of("time", "node", "event"));
        return new LogLine(
                node.path("time").asLong(),
                node.path("node").asText(),
                node.path("event").asText(),
                fields);
    }

    /**
     * Converts the value of a field to text.
     *
     * @param value the value
     * @return the plain text of a scalar value, the JSON of an object or array
     */
    private static String toText(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
