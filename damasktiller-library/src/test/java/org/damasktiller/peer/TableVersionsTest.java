package org.damasktiller.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.junit.jupiter.api.Test;

class TableVersionsTest {

    private final TableVersions versions = new TableVersions();

    @Test
    void testOlderTableIsRefused() {
        OperatorTable newer = table(7, 3);
        assertThat(versions.adopt(newer), is(true));
        assertThat(versions.adopt(table(6, 2)), is(false));
        assertThat(versions.current(), is(newer));
    }

    @Test
    void testOtherTableOfTheSameVersionIsRefused() {
        OperatorTable first = table(7, 3);
        versions.adopt(first);
        assertThat(versions.adopt(table(7, 4)), is(false));
        assertThat(versions.current(), is(first));
    }

    @Test
    void testPatchLeadsFromAKeptVersionToTheCurrentOne() {
        TableVersions behind = new TableVersions();
        behind.adopt(table(1, 1));
        versions.adopt(table(1, 1));
        versions.adopt(table(2, 5));
        PeerMessage message = versions.messageFrom(1);
        OperatorTable patched = behind.apply((PeerMessage.TablePatch) message);
        assertThat(patched, is(versions.current()));
    }

    @Test
    void testPatchOverAnotherTableIsNotApplied() {
        TableVersions behind = new TableVersions();
        behind.adopt(table(1, 9));
        versions.adopt(table(1, 1));
        versions.adopt(twoRows(2));
        PeerMessage message = versions.messageFrom(1);
        assertThat(behind.apply((PeerMessage.TablePatch) message) == null, is(true));
    }

    private static OperatorTable table(long version, int weight) {
        return OperatorTable.of(version, List.of(row("billing", weight)));
    }

    private static OperatorTable twoRows(long version) {
        return OperatorTable.of(version, List.of(row("billing", 1), row("lookup", 1)));
    }

    private static KindOfWork row(String kind, int weight) {
        return KindOfWork.builder(new KindName(kind), new TenantName("accounts"))
                .weight(weight)
                .build();
    }
}
