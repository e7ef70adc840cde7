package org.damasktiller.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.store.FakeStore;
import org.damasktiller.store.FakeStore.Fault;

class TableEditPropertyTest {

    private static final int EDIT_COUNT = 60;
    private static final int KIND_COUNT = 3;
    private static final List<Fault> FAULTS = List.of(Fault.values());

    /**
     * Whatever writes and answers are lost, an accepted edit is in the history once and a refused
     * one never.
     */
    @Property(tries = 150, seed = "61")
    void testAcceptedEditsTakeEffectOnce(@ForAll long seed) {
        Random random = new Random(seed);
        FakeStore store = new FakeStore();
        List<TableRepository> operators = List.of(repository(store), repository(store));
        Map<Long, EditId> accepted = new HashMap<>();
        Set<EditId> refused = new HashSet<>();
        List<OperatorTable> bases = new ArrayList<>(List.of(OperatorTable.EMPTY));
        for (int index = 0; index < EDIT_COUNT; index++) {
            store.faultNextHeadWrites(FAULTS.get(random.nextInt(FAULTS.size())));
            TableEdit edit = edit("e" + index, bases.get(random.nextInt(bases.size())), random);
            Promise<EditResult> promise = operators.get(random.nextInt(2)).edit(edit);
            store.setDown(false);
            if (hasUnknownOutcome(promise)) {
                promise = operators.get(random.nextInt(2)).edit(edit);
                store.setDown(false);
            }
            if (hasUnknownOutcome(promise)) {
                continue;
            }
            if (promise.isException()) {
                refused.add(edit.id());
            } else if (!promise.getResult().changes().isEmpty()) {
                accepted.put(promise.getResult().version(), edit.id());
            }
            bases.add(operators.get(0).read().getResult());
        }
        Map<Long, EditId> history = new HashMap<>();
        for (TableDelta delta : repository(store).history(EDIT_COUNT * 2).getResult()) {
            assertThat(history.values(), not(hasItem(delta.id())));
            assertThat(refused, not(hasItem(delta.id())));
            history.put(delta.version(), delta.id());
        }
        assertThat((long) history.size(), is(repository(store).read().getResult().version()));
        accepted.forEach((version, id) -> assertThat(history.get(version), is(id)));
    }

    private static boolean hasUnknownOutcome(Promise<EditResult> promise) {
        return promise.isException()
                && promise.getException() instanceof DamasktillerException error
                && error.outcome() == Outcome.OUTCOME_UNKNOWN
                && error.code() == ErrorCode.STORE_UNAVAILABLE;
    }

    private static TableEdit edit(String id, OperatorTable base, Random random) {
        List<KindOfWork> rows = new ArrayList<>();
        for (int kind = 0; kind < KIND_COUNT; kind++) {
            rows.add(
                    TestTables.row(
                            "kind-"
                                    + kind
                                    + " "
                                    + (1 + random.nextInt(2))
                                    + " "
                                    + random.nextInt(2)));
        }
        return new TableEdit(new EditId(id), "ana", base, OperatorTable.of(base.version(), rows));
    }

    private static TableRepository repository(FakeStore store) {
        return new TableRepository(store, Set.of(), () -> 0, () -> 0);
    }
}
