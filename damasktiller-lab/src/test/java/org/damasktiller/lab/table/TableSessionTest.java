package org.damasktiller.lab.table;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.KindName;
import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.lab.rig.LabEventLoop;
import org.damasktiller.platform.emulator.LoopbackServer;
import org.damasktiller.platform.emulator.StoreServlet;
import org.damasktiller.platform.settings.Addresses;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.table.EditId;
import org.damasktiller.table.EditResult;
import org.damasktiller.table.OperatorTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests concurrent edits of the table against an emulated store, over the store's protocol. */
class TableSessionTest {

    private static final String FIRST =
            """
            kind,tenant,class,weight
            billing,accounts,batch,5
            route-plan,dispatch,urgent,40
            """;

    private static final String SECOND = FIRST.replace(",5", ",6");

    private static final String THIRD = FIRST.replace(",40", ",50");

    private final LabEventLoop platform = new LabEventLoop("table-test", System.err::println);

    private final TableSession session =
            new TableSession(
                    platform.await(result -> result.complete(startStore())),
                    Deployment.CORRIB.zones().keySet());

    @AfterEach
    void close() {
        session.close();
        platform.close();
    }

    @Test
    void editsOfDifferentCellsAreMerged() {
        long base = put("first", 0, FIRST).version();
        put("second", base, SECOND);
        put("third", base, THIRD);
        OperatorTable merged = session.call(tables -> tables.read());
        assertThat(merged.row(new KindName("billing")).orElseThrow().weight(), is(6));
        assertThat(merged.row(new KindName("route-plan")).orElseThrow().weight(), is(50));
        assertThat(session.call(tables -> tables.history(10)), hasSize(3));
    }

    @Test
    void editsOfOneCellToDifferentValuesAreRefused() {
        long base = put("first", 0, FIRST).version();
        put("second", base, SECOND);
        DamasktillerException refused =
                assertThrows(
                        DamasktillerException.class,
                        () -> put("third", base, FIRST.replace(",5", ",7")));
        assertThat(refused.code(), is(ErrorCode.TABLE_CONFLICT));
    }

    @Test
    void repeatedEditTakesEffectOnce() {
        long base = put("first", 0, FIRST).version();
        long version = put("second", base, SECOND).version();
        assertThat(put("second", base, SECOND).version(), is(version));
    }

    private EditResult put(String id, long base, String csv) {
        return session.call(
                tables -> tables.put(new EditId(id), "operator", base, csv.getBytes(UTF_8)));
    }

    private InetSocketAddress startStore() {
        InMemoryStore model = new InMemoryStore(platform.runtime());
        StoreServlet servlet = new StoreServlet(model, platform.runtime(), FaultPlan.NO_FAULTS, 0);
        return Addresses.parse(
                Addresses.format(LoopbackServer.start(platform.eventloop(), servlet)));
    }
}
