package org.damasktiller.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.store.FakeStore;
import org.damasktiller.store.FakeStore.Fault;
import org.damasktiller.store.StoredValue;
import org.junit.jupiter.api.Test;

class TableRepositoryTest {

    private final FakeStore store = new FakeStore();
    private final AtomicLong floor = new AtomicLong();
    private final TableRepository first = repository();
    private final TableRepository second = repository();

    @Test
    void testEditIsReadBack() {
        result(first.edit(edit("a", "billing 3 10")));
        assertThat(result(second.read()), is(TestTables.table(1, "billing 3 10")));
        assertThat(result(second.history(10)).get(0).id(), is(new EditId("a")));
    }

    @Test
    void testTwoOperatorsAtOnceBothTakeEffect() {
        result(first.edit(edit("a", "billing 3 10")));
        OperatorTable base = result(first.read());
        store.beforeNextHeadWrite(() -> result(second.edit(edit("c", base, "billing 3 11"))));
        EditResult result = result(first.edit(edit("b", base, "billing 5 10")));
        assertThat(result.version(), is(3L));
        assertThat(result(second.read()), is(TestTables.table(3, "billing 5 11")));
    }

    @Test
    void testTwoOperatorsOnOneCellConflict() {
        result(first.edit(edit("a", "billing 3 10")));
        OperatorTable base = result(first.read());
        store.beforeNextHeadWrite(() -> result(second.edit(edit("c", base, "billing 6 10"))));
        DamasktillerException error = error(first.edit(edit("b", base, "billing 5 10")));
        assertThat(error.code(), is(ErrorCode.TABLE_CONFLICT));
        assertThat(error.getMessage(), containsString("in force '6', refused '5'"));
        assertThat(result(second.read()), is(TestTables.table(2, "billing 6 10")));
    }

    @Test
    void testLostAnswerAfterTheWriteIsReadBack() {
        store.faultNextHeadWrites(Fault.LOST_ANSWER);
        assertThat(result(first.edit(edit("a", "billing 3 10"))).version(), is(1L));
        assertThat(result(first.read()).version(), is(1L));
    }

    @Test
    void testLostWriteIsRepeated() {
        store.faultNextHeadWrites(Fault.LOST_WRITE);
        assertThat(result(first.edit(edit("a", "billing 3 10"))).version(), is(1L));
        assertThat(result(first.read()).version(), is(1L));
    }

    @Test
    void testLateWriteTakesEffectOnce() {
        store.faultNextHeadWrites(Fault.LATE_WRITE);
        assertThat(result(first.edit(edit("a", "billing 3 10"))).version(), is(1L));
        assertThat(result(first.read()).version(), is(1L));
    }

    @Test
    void testOutageAfterTheWriteLeavesOutcomeUnknownAndRetryIsHarmless() {
        store.faultNextHeadWrites(Fault.LOST_ANSWER_THEN_DOWN);
        TableEdit edit = edit("a", "billing 3 10");
        DamasktillerException error = error(first.edit(edit));
        assertThat(error.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(error.outcome(), is(Outcome.OUTCOME_UNKNOWN));
        store.down(false);
        result(second.edit(edit("b", result(second.read()), "billing 4 10")));
        assertThat(result(first.edit(edit)).version(), is(1L));
        assertThat(result(first.read()), is(TestTables.table(2, "billing 4 10")));
    }

    @Test
    void testOutageBeforeTheReadIsNotRun() {
        store.down(true);
        DamasktillerException error = error(first.edit(edit("a", "billing 3 10")));
        assertThat(error.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(error.outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void testOutageBetweenReadAndWriteIsNotClaimedToBeNotRun() {
        store.beforeNextHeadWrite(() -> store.down(true));
        TableEdit edit = edit("a", "billing 3 10");
        assertThat(error(first.edit(edit)).outcome(), is(Outcome.OUTCOME_UNKNOWN));
        store.down(false);
        assertThat(result(second.read()).version(), is(0L));
        assertThat(result(second.edit(edit)).version(), is(1L));
    }

    @Test
    void testRetryOfAnUndoneEditIsNotAppliedAgain() {
        TableEdit edit = edit("a", OperatorTable.EMPTY, "billing 3 10");
        result(first.edit(edit));
        result(second.edit(edit("b", result(second.read()))));
        for (int index = 0; index < 40; index++) {
            addRow(index);
        }
        assertThat(result(first.edit(edit)).version(), is(1L));
        assertThat(result(first.read()).version(), is(42L));
    }

    @Test
    void testStoreThatComesBackOlderIsNotEditedUntilItIsRepaired() {
        addRow(0);
        SortedMap<String, StoredValue> backup = store.copy();
        addRow(1);
        OperatorTable known = result(first.read());
        store.restore(backup);
        floor.set(known.version());
        DamasktillerException error = error(second.edit(edit("z", known, "billing 3 10")));
        assertThat(error.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(error.outcome(), is(Outcome.NOT_RUN));
        assertThat(result(second.repair(known)), is(true));
        assertThat(result(first.repair(known)), is(false));
        assertThat(result(second.read()), is(known));
        addRow(2);
        assertThat(result(repository().read()).version(), is(3L));
    }

    @Test
    void testMergedTableMustMeetTheRules() {
        KindOfWork large = share("billing", 60);
        KindOfWork other = share("plan", 60);
        result(first.edit(edit("a", OperatorTable.EMPTY, List.of(large))));
        DamasktillerException error =
                error(second.edit(edit("b", OperatorTable.EMPTY, List.of(other))));
        assertThat(error.code(), is(ErrorCode.BAD_TABLE));
    }

    @Test
    void testRecordsStaySmallAndBounded() {
        for (int index = 0; index < 3000; index++) {
            OperatorTable base = result(first.read());
            result(first.edit(edit("e" + index, base, "billing " + (1 + index % 2) + " 7")));
            assertThat(headBytes(), lessThan(4_000));
        }
        assertThat(
                store.copy().size(),
                lessThanOrEqualTo(
                        RecordWriter.MAXIMUM_HISTORY_SEGMENTS
                                + HeadPlanner.MAXIMUM_SEGMENTS
                                + RecordWriter.MAXIMUM_SNAPSHOTS
                                + 1));
        assertThat(result(repository().read()), is(result(first.read())));
        assertThat(result(first.readAt(2900)).version(), is(2900L));
        assertThat(error(first.readAt(5)).code(), is(ErrorCode.BAD_REQUEST));
        assertThat(result(first.history(2000)).size(), greaterThan(1000));
    }

    @Test
    void testLargeEditIsKeptAsSnapshot() {
        List<KindOfWork> rows =
                IntStream.range(0, 4000)
                        .mapToObj(index -> TestTables.row("kind-" + index + " 3 " + index))
                        .toList();
        addRow(0);
        OperatorTable base = result(first.read());
        result(first.edit(edit("large", base, rows)));
        assertThat(headBytes(), lessThan(4_000));
        assertThat(result(second.read()).rows().size(), is(4000));
        addRow(1);
        assertThat(result(repository().read()), is(result(second.read())));
        assertThat(error(first.readAt(1)).code(), is(ErrorCode.BAD_REQUEST));
    }

    @Test
    void testPutNeedsAVersionThatIsKept() {
        result(first.put(new EditId("a"), "ana", 0, csv("billing 3 10")));
        result(first.put(new EditId("b"), "ana", 1, csv("billing 4 10")));
        assertThat(
                result(second.put(new EditId("c"), "ion", 1, csv("billing 3 12"))).version(),
                is(3L));
        assertThat(result(first.read()), is(TestTables.table(3, "billing 4 12")));
        assertThat(
                error(first.put(new EditId("d"), "ana", 9, csv("billing 4 10"))).code(),
                is(ErrorCode.BAD_REQUEST));
    }

    private TableRepository repository() {
        return new TableRepository(store, Set.of(), () -> 1_000, floor::get);
    }

    private void addRow(int index) {
        OperatorTable base = result(second.read());
        List<KindOfWork> rows = new ArrayList<>(base.rows());
        rows.add(TestTables.row("kind-x" + index + " 3 10"));
        result(second.edit(edit("row-" + index, base, rows)));
    }

    private int headBytes() {
        StoredValue head = store.copy().get(TableKeys.HEAD);
        return head == null ? 0 : head.value().length;
    }

    private static KindOfWork share(String kind, int percent) {
        KindOfWork row = TestTables.row(kind + " 1 1");
        return KindOfWork.builder(row.name(), row.tenant()).minimumSharePercent(percent).build();
    }

    private static byte[] csv(String... rows) {
        return TableWriter.write(TestTables.table(0, rows));
    }

    private static TableEdit edit(String id, String... rows) {
        return edit(id, OperatorTable.EMPTY, rows);
    }

    private static TableEdit edit(String id, OperatorTable base, String... rows) {
        return new TableEdit(new EditId(id), "ana", base, TestTables.table(base.version(), rows));
    }

    private static TableEdit edit(String id, OperatorTable base, List<KindOfWork> rows) {
        return new TableEdit(new EditId(id), "ana", base, OperatorTable.of(base.version(), rows));
    }

    private static <T> T result(Promise<T> promise) {
        assertThat(String.valueOf(promise.getException()), promise.isResult(), is(true));
        return promise.getResult();
    }

    private static DamasktillerException error(Promise<?> promise) {
        assertThat(promise.isException(), is(true));
        return (DamasktillerException) promise.getException();
    }
}
