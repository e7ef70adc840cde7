package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.damasktiller.scheduler.cell.HeadRecord;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.ProgressRecord;
import org.damasktiller.scheduler.cell.RosterRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.interference.InterferenceRecord;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.standin.fuzz.DeployedStack;
import org.damasktiller.standin.fuzz.InputMutator;

/** Sends changed records of the scheduler through the decoder of stored values. */
class StoredRecordFuzzTest {

    private static final Resources NEED = new Resources(500, 256, 1);

    /** Valid records. */
    private static final List<Object> RECORDS =
            List.of(
                    new HeadRecord(3, 4, "n"),
                    new OwnerRecord("n", "p", 3),
                    new SubmissionRecord("c", "r", SubmissionState.RUNNING, 1_800_000_000_000L),
                    new PartsRecord("c", Map.of("d", List.of(0, 1))),
                    new RosterRecord(
                            List.of("w"),
                            Map.of("v", List.of("00000000000000a1.0.0.0")),
                            Map.of("v", 900L),
                            Map.of("w", "10.0.0.1:80"),
                            Map.of("w", 1_800_000_000_000L),
                            Map.of("v", List.of("00000000000000a1.0.0.0")),
                            Map.of("v", 400L)),
                    new AcceptedSubmission(
                            new Submission(
                                    "00000000000000a1",
                                    "work",
                                    List.of(
                                            StepSpec.builder(2, NEED).build(),
                                            StepSpec.builder(1, NEED)
                                                    .after(List.of(0))
                                                    .requiredLabel("l")
                                                    .build()),
                                    1_800_000_000_000L,
                                    3,
                                    1_000),
                            "r",
                            "c",
                            1_800_000_000_000L,
                            QueueTerms.UNKNOWN));

    /** Types to which the records of others are decoded as well. */
    private static final List<Class<?>> TYPES =
            List.of(PendingRecord.class, ProgressRecord.class, InterferenceRecord.class);

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.randomValue(Random::nextLong);
    }

    @Property(seed = "71", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void changedRecordIsUnreadableOrCanBeStoredAgain(@ForAll("seeds") long seed) {
        Random random = new Random(seed);
        Object valid = RECORDS.get(random.nextInt(RECORDS.size()));
        String text = new String(StoredValueCodec.encode(valid), StandardCharsets.UTF_8);
        byte[] value = new InputMutator(random).changeJson(text);
        DeployedStack.call(() -> check(value, valid.getClass()));
        TYPES.forEach(type -> DeployedStack.call(() -> check(value, type)));
    }

    /** Checks the outcome of a record. */
    private static boolean check(byte[] value, Class<?> type) {
        Object record = StoredValueCodec.decode(value, type);
        if (record == null) {
            return false;
        }
        byte[] stored = StoredValueCodec.encode(record);
        assertThat(StoredValueCodec.decode(stored, type), equalTo(record));
        return true;
    }
}
