package org.damasktiller.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;
import org.junit.jupiter.api.Test;

class CellEditsTest {

    private static final KindName BILLING = new KindName("billing");

    private final OperatorTable table =
            OperatorTable.of(
                    3,
                    List.of(
                            KindOfWork.builder(BILLING, new TenantName("accounts"))
                                    .weight(5)
                                    .build()));

    @Test
    void testOnlyTheNamedCellChanges() {
        OperatorTable changed = CellEdits.withCell(table, BILLING, "weight", "7");
        KindOfWork row = changed.row(BILLING).orElseThrow();
        assertThat(row.weight(), is(7));
        assertThat(row.tenant(), is(new TenantName("accounts")));
        assertThat(changed.version(), is(3L));
        assertThat(table.row(BILLING).orElseThrow().weight(), is(5));
    }

    @Test
    void testUnknownRowIsRefused() {
        assertThat(refusal("invoicing", "weight", "7").code(), is(ErrorCode.UNKNOWN_KIND));
    }

    @Test
    void testUnknownColumnIsRefused() {
        DamasktillerException failure = refusal("billing", "wieght", "7");
        assertThat(failure.code(), is(ErrorCode.BAD_TABLE));
        assertThat(failure.getMessage(), containsString("wieght"));
    }

    @Test
    void testTextThatTheColumnDoesNotAllowIsRefused() {
        DamasktillerException failure = refusal("billing", "weight", "-1");
        assertThat(failure.code(), is(ErrorCode.BAD_TABLE));
        assertThat(failure.getMessage(), containsString("-1"));
    }

    private DamasktillerException refusal(String kind, String column, String text) {
        return assertThrows(
                DamasktillerException.class,
                () -> CellEdits.withCell(table, new KindName(kind), column, text));
    }
}
