package org.damasktiller.lab.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.beust.jcommander.Parameter;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Operation;
import org.damasktiller.error.Outcome;
import org.junit.jupiter.api.Test;

/** Tests the selection of commands, the help and the exit codes of failures. */
class CommandLineTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @Test
    void testNoCommandIsUsage() {
        assertThat(run(), is(ExitCode.USAGE));
    }

    @Test
    void testUnknownFlagIsUsage() {
        assertThat(run("fail", "--nonsense"), is(ExitCode.USAGE));
        assertThat(errors.toString(StandardCharsets.UTF_8), containsString("--nonsense"));
    }

    @Test
    void testHelpOfCommandNamesItsFlags() {
        assertThat(run("fail", "--help"), is(ExitCode.SUCCESS));
        assertThat(output.toString(StandardCharsets.UTF_8), containsString("--outcome"));
    }

    @Test
    void testOutcomeOfFailureGivesExitCode() {
        assertThat(run("fail", "--outcome", "NOT_RUN"), is(ExitCode.NOT_RUN));
        assertThat(run("fail", "--outcome", "OUTCOME_UNKNOWN"), is(ExitCode.OUTCOME_UNKNOWN));
        assertThat(run("fail", "--outcome", "RUN"), is(ExitCode.FAILURE));
        assertThat(
                errors.toString(StandardCharsets.UTF_8),
                containsString("STORE_UNAVAILABLE at COMMIT with store, NOT_RUN: down"));
    }

    private ExitCode run(String... arguments) {
        return new CommandLine(
                        List.of(new FailingCommand()),
                        Map.of(),
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run(arguments);
    }

    private static final class FailingCommand implements Command {

        @Parameter(names = "--outcome")
        private Outcome outcome = Outcome.NOT_RUN;

        @Override
        public String name() {
            return "fail";
        }

        @Override
        public ExitCode run(PrintStream results) {
            throw new DamasktillerException(
                    ErrorCode.STORE_UNAVAILABLE, Operation.COMMIT, "store", outcome, "down");
        }
    }
}
