package org.damasktiller.lab.table;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.damasktiller.lab.rig.Deployment;
import org.damasktiller.platform.emulator.OperatorFormats;
import org.damasktiller.platform.record.PlatformRecords;
import org.damasktiller.scheduler.model.Manifest;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableReader;
import org.junit.jupiter.api.Test;

/** Tests how the rows of a table become the routes of a manifest. */
class TableManifestTest {

    private static final String CSV =
            """
            kind,tenant,class,repeat,latency_target
            route-plan,dispatch,urgent,resumable,
            billing,accounts,batch,at-most-once,400ms
            """;

    private final OperatorTable table =
            new TableReader(Deployment.CORRIB.zones().keySet()).read(CSV.getBytes(UTF_8), 0);

    @Test
    void rowsBecomeRoutes() {
        Manifest manifest = TableManifest.of(table, "workers", 3);
        assertThat(manifest.version(), is(3L));
        assertThat(manifest.findRoute("accounts.example", "/billing/1").name(), is("billing"));
        assertThat(manifest.findRouteByName("billing").maximumAttempts(), is(1));
        assertThat(manifest.findRouteByName("billing").targetLatencyMillis(), is(400L));
        assertThat(manifest.findRouteByName("billing").priority(), is(2));
        assertThat(manifest.findRouteByName("route-plan").priority(), is(0));
        assertThat(manifest.findRouteByName("route-plan").maximumAttempts(), is(3));
    }

    @Test
    void entryVmsReadTheManifestThatIsPrinted() {
        Manifest manifest = TableManifest.of(table, "workers", 3);
        byte[] text = OperatorFormats.manifest(manifest);
        assertThat(new PlatformRecords().decodeManifest(text), is(manifest));
    }
}
