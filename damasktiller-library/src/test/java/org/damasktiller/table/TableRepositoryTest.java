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
    private final AtomicLong latestKnownVersion = new AtomicLong();
    private final TableRepository firstOperator = repository();
    private final TableRepository secondOperator = repository();

    @Test
    void testEditIsReadBack() {
        result(firstOperator.edit(edit("a", "billing 3 10")));
        assertThat(result(secondOperator.read()), is(TestTables.table(1, "billing 3 10")));
        assertThat(result(secondOperator.history(10)).get(0).id(), is(new EditId("a")));
    }

    @Test
    void testTwoOperatorsAtOnceBothTakeEffect() {
        result(firstOperator.edit(edit("a", "billing 3 10")));
        OperatorTable base = result(firstOperator.read());
        store.beforeNextHeadWrite(
                () -> result(secondOperator.edit(edit("c", base, "billing 3 11"))));
        EditResult result = result(firstOperator.edit(edit("b", base, "billing 5 10")));
        assertThat(result.version(), is(3L));
        assertThat(result(secondOperator.read()), is(TestTables.table(3, "billing 5 11")));
    }

    @Test
    void testTwoOperatorsOnOneCellConflict() {
        result(firstOperator.edit(edit("a", "billing 3 10")));
        OperatorTable base = result(firstOperator.read());
        store.beforeNextHeadWrite(
                () -> result(secondOperator.edit(edit("c", base, "billing 6 10"))));
        DamasktillerException error = error(firstOperator.edit(edit("b", base, "billing 5 10")));
        assertThat(error.code(), is(ErrorCode.TABLE_CONFLICT));
        assertThat(error.getMessage(), containsString("in force '6', refused '5'"));
        assertThat(result(secondOperator.read()), is(TestTables.table(2, "billing 6 10")));
    }

    @Test
    void testLostAnswerAfterTheWriteIsReadBack() {
        store.faultNextHeadWrites(Fault.LOST_ANSWER);
        assertThat(result(firstOperator.edit(edit("a", "billing 3 10"))).version(), is(1L));
        assertThat(result(firstOperator.read()).version(), is(1L));
    }

    @Test
    void testLostWriteIsRepeated() {
        store.faultNextHeadWrites(Fault.LOST_WRITE);
        assertThat(result(firstOperator.edit(edit("a", "billing 3 10"))).version(), is(1L));
        assertThat(result(firstOperator.read()).version(), is(1L));
    }

    @Test
    void testLateWriteTakesEffectOnce() {
        store.faultNextHeadWrites(Fault.LATE_WRITE);
        assertThat(result(firstOperator.edit(edit("a", "billing 3 10"))).version(), is(1L));
        assertThat(result(firstOperator.read()).version(), is(1L));
    }

    @Test
    void testOutageAfterTheWriteLeavesOutcomeUnknownAndRetryIsHarmless() {
        store.faultNextHeadWrites(Fault.LOST_ANSWER_THEN_DOWN);
        TableEdit edit = edit("a", "billing 3 10");
        DamasktillerException error = error(firstOperator.edit(edit));
        assertThat(error.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(error.outcome(), is(Outcome.OUTCOME_UNKNOWN));
        store.setDown(false);
        result(secondOperator.edit(edit("b", result(secondOperator.read()), "billing 4 10")));
        assertThat(result(firstOperator.edit(edit)).version(), is(1L));
        assertThat(result(firstOperator.read()), is(TestTables.table(2, "billing 4 10")));
    }

    @Test
    void testOutageBeforeTheReadIsNotRun() {
        store.setDown(true);
        DamasktillerException error = error(firstOperator.edit(edit("a", "billing 3 10")));
        assertThat(error.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(error.outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void testOutageBetweenReadAndWriteLeavesOutcomeUnknown() {
        store.beforeNextHeadWrite(() -> store.setDown(true));
        TableEdit edit = edit("a", "billing 3 10");
        assertThat(error(firstOperator.edit(edit)).outcome(), is(Outcome.OUTCOME_UNKNOWN));
        store.setDown(false);
        assertThat(result(secondOperator.read()).version(), is(0L));
        assertThat(result(secondOperator.edit(edit)).version(), is(1L));
    }

    @Test
    void testRetryOfAnUndoneEditIsNotAppliedAgain() {
        TableEdit edit = edit("a", OperatorTable.EMPTY, "billing 3 10");
        result(firstOperator.edit(edit));
        result(secondOperator.edit(edit("b", result(secondOperator.read()))));
        for (int index = 0; index < 40; index++) {
            addRow(index);
        }
        assertThat(result(firstOperator.edit(edit)).version(), is(1L));
        assertThat(result(firstOperator.read()).version(), is(42L));
    }

    @Test
    void testOutdatedStoreIsNotEditedUntilItIsRestored() {
        addRow(0);
        SortedMap<String, StoredValue> backup = store.copyValues();
        addRow(1);
        OperatorTable known = result(firstOperator.read());
        store.restore(backup);
        latestKnownVersion.set(known.version());
        DamasktillerException error = error(secondOperator.edit(edit("z", known, "billing 3 10")));
        assertThat(error.code(), is(ErrorCode.STORE_UNAVAILABLE));
        assertThat(error.outcome(), is(Outcome.NOT_RUN));
        assertThat(result(secondOperator.restoreIfOutdated(known)), is(true));
        assertThat(result(firstOperator.restoreIfOutdated(known)), is(false));
        assertThat(result(secondOperator.read()), is(known));
        addRow(2);
        assertThat(result(repository().read()).version(), is(3L));
    }

    @Test
    void testMergedTableMustMeetTheRules() {
        KindOfWork large = share("billing", 60);
        KindOfWork other = share("plan", 60);
        result(firstOperator.edit(edit("a", OperatorTable.EMPTY, List.of(large))));
        DamasktillerException error =
                error(secondOperator.edit(edit("b", OperatorTable.EMPTY, List.of(other))));
        assertThat(error.code(), is(ErrorCode.BAD_TABLE));
    }

    @Test
    void testRecordsStaySmallAndBounded() {
        for (int index = 0; index < 3000; index++) {
            OperatorTable base = result(firstOperator.read());
            result(
                    firstOperator.edit(
                            edit("e" + index, base, "billing " + (1 + index % 2) + " 7")));
            assertThat(headBytes(), lessThan(4_000));
        }
        assertThat(
                store.copyValues().size(),
                lessThanOrEqualTo(
                        RecordWriter.RETAINED_HISTORY_SEGMENTS
                                + HeadPlanner.MAXIMUM_SEGMENTS
                                + RecordWriter.RETAINED_SNAPSHOTS
                                + 1));
        assertThat(result(repository().read()), is(result(firstOperator.read())));
        assertThat(result(firstOperator.readAt(2900)).version(), is(2900L));
        assertThat(error(firstOperator.readAt(5)).code(), is(ErrorCode.BAD_REQUEST));
        assertThat(result(firstOperator.history(2000)).size(), greaterThan(1000));
    }

    @Test
    void testLargeEditIsKeptAsSnapshot() {
        List<KindOfWork> rows =
                IntStream.range(0, 4000)
                        .mapToObj(index -> TestTables.row("kind-" + index + " 3 " + index))
                        .toList();
        addRow(0);
        OperatorTable base = result(firstOperator.read());
        result(firstOperator.edit(edit("large", base, rows)));
        assertThat(headBytes(), lessThan(4_000));
        assertThat(result(secondOperator.read()).rows().size(), is(4000));
        addRow(1);
        assertThat(result(repository().read()), is(result(secondOperator.read())));
        assertThat(error(firstOperator.readAt(1)).code(), is(ErrorCode.BAD_REQUEST));
    }

    @Test
    void testPutRequiresAVersionInTheHistory() {
        result(firstOperator.put(new EditId("a"), "ana", 0, csv("billing 3 10")));
        result(firstOperator.put(new EditId("b"), "ana", 1, csv("billing 4 10")));
        assertThat(
                result(secondOperator.put(new EditId("c"), "ion", 1, csv("billing 3 12")))
                        .version(),
                is(3L));
        assertThat(result(firstOperator.read()), is(TestTables.table(3, "billing 4 12")));
        assertThat(
                error(firstOperator.put(new EditId("d"), "ana", 9, csv("billing 4 10"))).code(),
                is(ErrorCode.BAD_REQUEST));
    }

    private TableRepository repository() {
        return new TableRepository(store, Set.of(), () -> 1_000, latestKnownVersion::get);
    }

    private void addRow(int index) {
        OperatorTable base = result(secondOperator.read());
        List<KindOfWork> rows = new ArrayList<>(base.rows());
        rows.add(TestTables.row("kind-x" + index + " 3 10"));
        result(secondOperator.edit(edit("row-" + index, base, rows)));
    }

    private int headBytes() {
        StoredValue head = store.copyValues().get(TableKeys.HEAD);
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
