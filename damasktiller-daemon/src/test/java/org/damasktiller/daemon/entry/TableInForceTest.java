package org.damasktiller.daemon.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.damasktiller.table.OperatorTable;
import org.junit.jupiter.api.Test;

class TableInForceTest {

    private final TableInForce table = new TableInForce();

    @Test
    void testVersionOnlyRises() {
        OperatorTable newer = OperatorTable.of(5, List.of());
        assertThat(table.accept(newer), is(true));
        assertThat(table.accept(OperatorTable.of(4, List.of())), is(false));
        assertThat(table.accept(OperatorTable.of(5, List.of())), is(false));
        assertThat(table.get(), is(newer));
    }
}
