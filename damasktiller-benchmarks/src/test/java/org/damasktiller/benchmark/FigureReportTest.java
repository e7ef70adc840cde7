package org.damasktiller.benchmark;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class FigureReportTest {

    @Test
    void testFigureBeyondItsTargetIsShort() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        FigureReport report =
                new FigureReport(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        report.add("writes_per_start", 0, "writes", 0, Bound.AT_MOST);
        report.add("goodput", 0.8, "share", 0.9, Bound.AT_LEAST);
        report.add("heap", 12.5, "MB");
        assertThat(
                bytes.toString(StandardCharsets.UTF_8).lines().toList().toString(),
                is(
                        "[writes_per_start 0 writes <=0 ok, goodput 0.8000 share >=0.9000 short,"
                                + " heap 12.50 MB - ok]"));
        assertThat(report.shortFigures(), is(1));
    }
}
