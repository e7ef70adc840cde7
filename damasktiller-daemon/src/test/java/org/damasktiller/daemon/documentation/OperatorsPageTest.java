package org.damasktiller.daemon.documentation;

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
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.standin.http.HttpCodes;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableWriter;
import org.junit.jupiter.api.Test;

class OperatorsPageTest {

    private final String page = read();

    @Test
    void testSettingsTableMatchesTheCode() {
        Set<String> expected = new TreeSet<>();
        JCommander parser = JCommander.newBuilder().addObject(new EntrySettings()).build();
        parser.parse();
        for (ParameterDescription parameter : parser.getParameters()) {
            String flag = parameter.getLongestName();
            expected.add(flag + " " + Settings.variableOf(flag) + " " + defaultOf(parameter));
        }
        Pattern row = Pattern.compile("\\| `(--\\S+)` \\| `(\\S+)` \\| [^|]* \\| (\\S+) \\|");
        assertThat(rows(section("Settings of"), row), is(expected));
    }

    @Test
    void testErrorCodesMatchTheCode() {
        Set<String> expected =
                Arrays.stream(ErrorCode.values())
                        .map(code -> code + " " + HttpCodes.statusOf(code))
                        .collect(Collectors.toCollection(TreeSet::new));
        Pattern row = Pattern.compile("\\| `([A-Z_]+)` \\| (\\d+) \\|");
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
        Object value = parameter.getDefault();
        if (value == null) {
            return "required";
        }
        return value instanceof List<?> list && list.isEmpty() ? "empty" : value.toString();
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

    private static String read() {
        try {
            return Files.readString(Path.of("..", "docs", "OPERATORS.md"));
        } catch (IOException exception) {
            throw new AssertionError(exception);
        }
    }
}
