package org.damasktiller.scheduler.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests that this release and the one before read each other's accepted submissions. */
final class AcceptedSubmissionRecordTest {

    /** The terms of a queue. */
    private static final QueueTerms TERMS = new QueueTerms(7, 3, 5, 2.5, 600, true);

    /** A submission. */
    private static final Submission SUBMISSION =
            new Submission(
                    "00000000000000a1",
                    "p",
                    List.of(StepSpec.builder(1, new Resources(2_000, 1_000, 0)).build()),
                    0,
                    0,
                    0);

    /** The record that this release writes. */
    private static final AcceptedSubmission RECORD =
            new AcceptedSubmission(SUBMISSION, "r", "s", 5, TERMS);

    /** The record that the release before writes. */
    private static final FormerRecord FORMER_RECORD =
            new FormerRecord(SUBMISSION, "r", "s", 5, null);

    /** A submission of the release before has no terms. */
    @Test
    void recordOfTheFormerReleaseIsReadWithoutTerms() {
        assertThat(
                StoredValueCodec.decode(
                        StoredValueCodec.encode(FORMER_RECORD), AcceptedSubmission.class),
                equalTo(new AcceptedSubmission(SUBMISSION, "r", "s", 5, null, null)));
    }

    /** The release before ignores the terms. */
    @Test
    void formerReleaseReadsTheRecord() {
        assertThat(
                StoredValueCodec.decode(StoredValueCodec.encode(RECORD), FormerRecord.class),
                equalTo(FORMER_RECORD));
    }

    /** Terms that are left out since they are 0 or false are read as such. */
    @Test
    void termsAreReadAsTheyWereWritten() {
        QueueTerms least = new QueueTerms(0, 0, 1, 0, 0, false);
        for (QueueTerms terms : List.of(TERMS, QueueTerms.UNKNOWN, least)) {
            AcceptedSubmission record = new AcceptedSubmission(SUBMISSION, "r", "s", 5, terms);
            assertThat(
                    StoredValueCodec.decode(
                            StoredValueCodec.encode(record), AcceptedSubmission.class),
                    equalTo(record));
        }
    }

    /** A move to another cell keeps the terms. */
    @Test
    void partKeepsTheTerms() {
        SubmissionPart part = new SubmissionPart(false, 1, List.of(), List.of());
        assertThat(RECORD.withPart(part).terms(), equalTo(RECORD.terms()));
    }

    /**
     * The record as the release before declares it.
     *
     * @param submission the caller's request
     * @param route the name of the route that matched the request
     * @param service the service whose workers run the tasks
     * @param acceptedUnixMillis when the submission was accepted, in milliseconds since 1970
     * @param part which tasks have their home in the cell, or null if all have
     */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    private record FormerRecord(
            Submission submission,
            String route,
            String service,
            long acceptedUnixMillis,
            @Nullable SubmissionPart part) {}
}
