package org.damasktiller.lab.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that a crowd is sent to no address off loopback and with no flag out of range. */
class CrowdCommandTest {

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @Test
    void addressOffLoopbackIsUsage() {
        assertThat(run("--vm", "10.0.0.1:80"), is(ExitCode.USAGE));
        assertThat(errors.toString(StandardCharsets.UTF_8), containsString("on loopback"));
    }

    @Test
    void flagsOutOfRangeAreUsage() {
        assertThat(run("--vm", "127.0.0.1:1", "--callers", "0"), is(ExitCode.USAGE));
        assertThat(run("--vm", "127.0.0.1:1", "--body-bytes", "127"), is(ExitCode.USAGE));
        assertThat(run("--vm", "127.0.0.1:1", "--kind", "NONE"), is(ExitCode.USAGE));
    }

    private ExitCode run(String... flags) {
        String[] arguments = new String[flags.length + 5];
        List.of("crowd", "--host", "h", "--prefix", "/p/").toArray(arguments);
        System.arraycopy(flags, 0, arguments, 5, flags.length);
        return new CommandLine(
                        List.of(new CrowdCommand()),
                        Map.of(),
                        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run(arguments);
    }
}
