package org.damasktiller.node.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.damasktiller.scheduler.policy.Policy;
import org.junit.jupiter.api.Test;

/** Tests the checks of the command-line options. */
final class OptionsTest {

    @Test
    void negativeNumberOfZonesIsRejected() {
        Options options = new Options();
        JCommander.newBuilder().addObject(options).build().parse("--max-zones-per-cell", "-1");
        ParameterException error = assertThrows(ParameterException.class, options::validate);
        assertThat(error.getMessage(), containsString("--max-zones-per-cell must be at least 0"));
    }

    @Test
    void valueThatIsNoNumberIsRejected() {
        JCommander parser = JCommander.newBuilder().addObject(new Options()).build();
        assertThrows(
                ParameterException.class, () -> parser.parse("--max-zones-per-cell", "several"));
    }

    @Test
    void policiesAreSwitchedOffByName() {
        Options options = new Options();
        JCommander.newBuilder()
                .addObject(options)
                .build()
                .parse("--without", "urgent-reserve,look-ahead");
        assertThat(options.disabledPolicies, contains(Policy.URGENT_RESERVE, Policy.LOOK_AHEAD));
    }

    @Test
    void unknownPolicyIsRejectedWithTheKnownNames() {
        JCommander parser = JCommander.newBuilder().addObject(new Options()).build();
        ParameterException error =
                assertThrows(ParameterException.class, () -> parser.parse("--without", "reserve"));
        assertThat(error.getMessage(), containsString("unknown policy \"reserve\""));
        assertThat(error.getMessage(), containsString("urgent-reserve"));
    }
}
