package org.damasktiller.scheduler.fatal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.junit.jupiter.api.Test;

/** Tests which errors are fatal. */
class FatalErrorsTest {

    /** A stored value whose constructor fails with an error. */
    record Failing(int value) {

        Failing {
            throw new StackOverflowError("at value " + value);
        }
    }

    @Test
    void findsTheFatalErrorBehindExceptions() {
        Error fatal = new OutOfMemoryError();
        assertThat(FatalErrors.find(fatal), sameInstance(fatal));
        assertThat(
                FatalErrors.find(new IllegalStateException(new RuntimeException(fatal))),
                sameInstance(fatal));
    }

    @Test
    void otherErrorsAreNotFatal() {
        assertThat(FatalErrors.find(new AssertionError()), nullValue());
        assertThat(FatalErrors.find(new IllegalStateException()), nullValue());
    }

    @Test
    void causesThatFormACycleAreNotFollowedWithoutAnEnd() {
        IllegalStateException first = new IllegalStateException();
        IllegalStateException second = new IllegalStateException(first);
        first.initCause(second);
        assertThat(FatalErrors.find(first), nullValue());
    }

    // The JSON library wraps the error in an exception, which was taken for an unreadable record.
    @Test
    void errorInsideADecoderIsNotTakenForAnUnreadableRecord() {
        byte[] stored = "{\"value\":1}".getBytes(StandardCharsets.UTF_8);
        assertThrows(
                StackOverflowError.class, () -> StoredValueCodec.decode(stored, Failing.class));
    }
}
