package org.damasktiller.lab.documentation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.lab.command.Command;
import org.damasktiller.lab.command.Main;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableWriter;
import org.junit.jupiter.api.Test;

/** Tests that the flags, error codes and columns on the operators' page match the code. */
class OperatorsPageTest {

    private final String page = readPage();

    @Test
    void testFlagsMatchTheCode() {
        Set<String> expected = new TreeSet<>();
        for (Command command : Main.createCommands()) {
            JCommander parser = JCommander.newBuilder().addObject(command).build();
            parser.parseWithoutValidation();
            for (ParameterDescription parameter : parser.getParameters()) {
                expected.add(
                        command.name()
                                + " "
                                + parameter.getLongestName()
                                + " "
                                + defaultOf(parameter));
            }
        }
        Pattern row = Pattern.compile("\\| `(\\S+)` \\| `(--\\S+)` \\| (\\S+) \\|");
        assertThat(rows(section("Commands"), row), is(expected));
    }

    @Test
    void testErrorCodesMatchTheCode() {
        Set<String> expected =
                Arrays.stream(ErrorCode.values())
                        .map(ErrorCode::toString)
                        .collect(Collectors.toCollection(TreeSet::new));
        Pattern row = Pattern.compile("\\| `([A-Z_]+)` \\|");
        assertThat(rows(section("Error codes"), row), is(expected));
    }

    @Test
    void testColumnsMatchTheCode() {
        String header =
                new String(TableWriter.write(OperatorTable.EMPTY), StandardCharsets.UTF_8)
                        .lines()
                        .findFirst()
                        .orElseThrow();
        Set<String> expected = new TreeSet<>(List.of(header.split(",")));
        Pattern row = Pattern.compile("\\| `([a-z_]+)` \\|");
        assertThat(rows(section("The table"), row), is(expected));
    }

    private static String defaultOf(ParameterDescription parameter) {
        if (parameter.getParameter().required()) {
            return "required";
        }
        String value = String.valueOf(parameter.getDefault());
        return value.isEmpty() ? "empty" : value;
    }

    private static Set<String> rows(String text, Pattern row) {
        Set<String> rows = new TreeSet<>();
        for (String line : text.lines().toList()) {
            Matcher matcher = row.matcher(line);
            if (matcher.lookingAt()) {
                StringBuilder found = new StringBuilder(matcher.group(1));
                for (int group = 2; group <= matcher.groupCount(); group++) {
                    found.append(' ').append(matcher.group(group));
                }
                rows.add(found.toString());
            }
        }
        return rows;
    }

    private String section(String heading) {
        Matcher start = Pattern.compile("(?m)^#+ " + heading + ".*$").matcher(page);
        assertThat(heading, start.find(), is(true));
        Matcher end = Pattern.compile("(?m)^#").matcher(page);
        return end.find(start.end())
                ? page.substring(start.end(), end.start())
                : page.substring(start.end());
    }

    private static String readPage() {
        try {
            return Files.readString(Path.of("..", "docs", "OPERATORS.md"));
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }
}
