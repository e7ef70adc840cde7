package org.damasktiller.lab.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.beust.jcommander.JCommander;
import java.io.OutputStream;
import java.io.PrintStream;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.junit.jupiter.api.Test;

/** Tests the checks of the soak command's flags. */
final class SoakCommandTest {

    /** A range that ends before it begins would otherwise run nothing and succeed. */
    @Test
    void reversedRangeOfSeedsIsRejected() {
        SoakCommand command = new SoakCommand();
        JCommander.newBuilder().addObject(command).build().parse("--seeds", "9-3", "--for", "1");
        DamasktillerException error =
                assertThrows(
                        DamasktillerException.class,
                        () -> command.run(new PrintStream(OutputStream.nullOutputStream())));
        assertThat(error.code(), equalTo(ErrorCode.BAD_SETTING));
        assertThat(error.getMessage(), containsString("--seeds"));
    }
}
