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

/** Tests the checks of the table command's flags. */
final class TableCommandTest {

    /** The identifier becomes part of a key; a malformed one is an error of its flag. */
    @Test
    void malformedEditIdentifierIsRejectedBeforeTheStoreIsCalled() {
        TableCommand command = new TableCommand();
        JCommander.newBuilder()
                .addObject(command)
                .build()
                .parse("edit", "--store", "127.0.0.1:1", "--edit-id", "two words");
        DamasktillerException error =
                assertThrows(
                        DamasktillerException.class,
                        () -> command.run(new PrintStream(OutputStream.nullOutputStream())));
        assertThat(error.code(), equalTo(ErrorCode.BAD_SETTING));
        assertThat(error.getMessage(), containsString("--edit-id"));
    }
}
