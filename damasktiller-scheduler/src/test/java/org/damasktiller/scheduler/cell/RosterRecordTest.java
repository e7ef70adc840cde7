package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.nullValue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.scheduler.model.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that a stored roster never excludes more than it certainly says. */
class RosterRecordTest {

    private static final TaskId TASK = new TaskId("00000000000000a1", 0, 0, 7);

    private static final TaskId OTHER_TASK = new TaskId("00000000000000a2", 0, 0, 0);

    private static final String ADDRESS = "10.0.0.7:7720";

    private static final long BOOT = 1_790_000_000_000L;

    @Test
    void rosterIsReadAsItWasWritten() {
        RosterEntry closed = RosterEntry.closed(Set.of(TASK));
        Map<String, RosterEntry> entries =
                Map.of(
                        "w0",
                        RosterEntry.OPEN,
                        "w1",
                        closed,
                        "w2",
                        closed.withRemainingMillis(901).withAddress(ADDRESS).withBoot(BOOT),
                        "w3",
                        RosterEntry.closed(Set.of(TASK, OTHER_TASK))
                                .withRemainingMillis(11_000)
                                .withConfirmed(Set.of(TASK), 901));
        byte[] stored = StoredValueCodec.encode(RosterRecord.of(entries));
        assertThat(decode(new String(stored, StandardCharsets.UTF_8)).entries(), equalTo(entries));
        assertThat(entries.get("w2").remainingMillis(), equalTo(1_000L));
        assertThat(entries.get("w3").confirmed().remainingMillis(), equalTo(1_000L));
    }

    @Test
    void recordOfAnEarlierReleaseHasOpenWorkersOnly() {
        assertThat(
                decode("{\"workers\":[\"w0\"]}").entries(),
                equalTo(Map.of("w0", RosterEntry.OPEN)));
    }

    /**
     * A successor of an earlier release must wait as before, not take the roster for unreadable.
     */
    @Test
    void earlierReleaseIgnoresTheAddressesAndBoots() {
        RosterEntry closed = RosterEntry.closed(Set.of(TASK));
        byte[] stored =
                StoredValueCodec.encode(
                        RosterRecord.of(Map.of("w1", closed.withAddress(ADDRESS).withBoot(BOOT))));
        EarlierRosterRecord read = StoredValueCodec.decode(stored, EarlierRosterRecord.class);
        assertThat(
                read,
                equalTo(
                        new EarlierRosterRecord(
                                List.of("w1"), Map.of("w1", List.of(TASK.toString())), Map.of())));
    }

    @Test
    void closedWorkerOfAnEarlierReleaseHasNoAddress() {
        assertThat(
                decode("{\"workers\":[\"w0\"],\"closed\":{\"w0\":[]},\"remainingMillis\":{}}")
                        .entries(),
                equalTo(Map.of("w0", RosterEntry.closed(Set.of()))));
    }

    /** A task is released early only if the record says when, and no lease may outlast that. */
    @Test
    void confirmedTasksWithoutATimeOrBesideLeasesAreHeldLikeTheOthers() {
        String name = TASK.toString();
        String closed = "{\"workers\":[\"w0\"],\"closed\":{\"w0\":[\"" + name + "\"]}";
        String confirmed = ",\"confirmed\":{\"w0\":[\"" + name + "\"]}";
        String remaining = ",\"remainingMillis\":{\"w0\":11000}";
        String millis = ",\"confirmedMillis\":{\"w0\":1000}";
        RosterEntry held = RosterEntry.closed(Set.of(TASK));
        assertThat(
                decode(closed + confirmed + remaining + "}").entries(),
                equalTo(Map.of("w0", held.withRemainingMillis(11_000))));
        assertThat(
                decode(closed + confirmed + millis + "}").entries(), equalTo(Map.of("w0", held)));
        assertThat(
                decode(closed + confirmed + remaining + millis + "}").entries(),
                equalTo(
                        Map.of(
                                "w0",
                                held.withRemainingMillis(11_000)
                                        .withConfirmed(Set.of(TASK), 1_000))));
    }

    @Test
    void workerHasRestartedOnlySinceAKnownBoot() {
        assertThat(RosterEntry.OPEN.isBefore(BOOT), equalTo(false));
        assertThat(RosterEntry.OPEN.withBoot(BOOT).isBefore(BOOT), equalTo(false));
        assertThat(RosterEntry.OPEN.withBoot(BOOT).isBefore(BOOT + 1), equalTo(true));
    }

    @Test
    void workerWithATaskNameThatCannotBeReadIsOpen() {
        assertThat(
                decode("{\"workers\":[\"w0\"],\"closed\":{\"w0\":[\"a.b\"]}}").entries(),
                equalTo(Map.of("w0", RosterEntry.OPEN)));
    }

    @Test
    void remainingTimeThatIsNegativeOrTooLongCountsAsTheLongestLease() {
        for (String millis : new String[] {"-1", Long.toString(Long.MAX_VALUE - 1)}) {
            String text = "{\"workers\":[\"w0\"],\"remainingMillis\":{\"w0\":" + millis + "}}";
            assertThat(decode(text).entries(), equalTo(Map.of("w0", RosterEntry.OPEN)));
        }
    }

    @Test
    void recordWithAMissingTaskNameCannotBeRead() {
        String text = "{\"workers\":[\"w0\"],\"closed\":{\"w0\":[null]}}";
        assertThat(decode(text), nullValue());
    }

    private static RosterRecord decode(String text) {
        return StoredValueCodec.decode(text.getBytes(StandardCharsets.UTF_8), RosterRecord.class);
    }

    /** The record of the release before addresses were added. */
    private record EarlierRosterRecord(
            List<String> workers,
            Map<String, List<String>> closed,
            Map<String, Long> remainingMillis) {}
}
