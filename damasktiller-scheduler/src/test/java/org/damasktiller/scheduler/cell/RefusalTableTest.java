package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests that docs/design/refusals.md says of each refusal what ends it. */
final class RefusalTableTest {

    /** A row with the name of a value, and five further columns that are not empty. */
    private static final Pattern ROW =
            Pattern.compile("\\| `([A-Z_]+)`[^|]* (?:\\| *[^| ][^|]* ){5}\\|");

    @Test
    void eachCauseOfWaitingIsInTheTable() throws IOException {
        Set<String> rows = rowsBelow("## Causes of waiting (`WaitingCause`)");
        assertThat(namesOf(WaitingCause.values()), everyItem(in(rows)));
        rows.removeAll(namesOf(WaitingCause.values()));
        assertThat(rows, empty());
    }

    @Test
    void eachVerdictOnAWorkerIsInTheTable() throws IOException {
        Set<String> rows = rowsBelow("## Verdicts on a worker (`PlacementVerdict`)");
        assertThat(namesOf(PlacementVerdict.values()), everyItem(in(rows)));
        rows.removeAll(namesOf(PlacementVerdict.values()));
        assertThat(rows, empty());
    }

    /**
     * Reads the table of a section.
     *
     * @param heading the heading of the section
     * @return the names that have a row
     * @throws IOException if the page can't be read
     */
    private static Set<String> rowsBelow(String heading) throws IOException {
        String page = Files.readString(Path.of("..", "docs", "design", "refusals.md"));
        assertThat(page.indexOf(heading), not(-1));
        String section = page.substring(page.indexOf(heading) + heading.length());
        return section.substring(0, section.indexOf("\n## "))
                .lines()
                .map(ROW::matcher)
                .filter(Matcher::matches)
                .map(row -> row.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Lists the names of the values of an enumeration.
     *
     * @param values the values
     * @return their names
     */
    private static Set<String> namesOf(Enum<?>... values) {
        return Arrays.stream(values).map(Enum::name).collect(Collectors.toCollection(TreeSet::new));
    }
}
