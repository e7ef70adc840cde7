package org.damasktiller.verification.table;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.peer.ZoneMap;
import org.damasktiller.standin.network.PeerFleet;
import org.damasktiller.standin.network.VirtualNetwork;
import org.damasktiller.standin.network.VirtualStore;
import org.damasktiller.standin.time.VirtualTime;
import org.damasktiller.table.EditId;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.table.TableEdit;
import org.damasktiller.table.TableRepository;
import org.junit.jupiter.api.Test;

class TableSpreadFaultTest {

    private static final long TARGET_MILLIS = 11_000;
    private static final RegionName NEAR = new RegionName("leinster");
    private static final RegionName FAR = new RegionName("connacht");
    private static final ZoneName FIRST = new ZoneName("leinster-1");
    private static final ZoneName SECOND = new ZoneName("leinster-2");
    private static final ZoneName THIRD = new ZoneName("connacht-1");
    private static final List<ZoneName> ZONES = List.of(FIRST, SECOND, THIRD);

    private final VirtualTime time = new VirtualTime(1_000_000);
    private final VirtualNetwork network = new VirtualNetwork(time, 3);
    private final VirtualStore store = new VirtualStore(time, network);
    private final PeerFleet fleet =
            new PeerFleet(
                    time,
                    network,
                    store,
                    new ZoneMap(Map.of(FIRST, NEAR, SECOND, NEAR, THIRD, FAR)),
                    NEAR,
                    4);

    TableSpreadFaultTest() {
        network.place(VirtualStore.ADDRESS, FIRST, NEAR);
        Map<VmId, ZoneName> seeds = new TreeMap<>();
        for (int index = 0; index < 9; index++) {
            seeds.put(new VmId("10.0.0." + index + ":7000"), ZONES.get(index % 3));
        }
        seeds.forEach((id, zone) -> fleet.start(id, zone, seeds));
        time.pass(30_000);
    }

    @Test
    void testRegionCutFromAllKeepsItsTableAndCatchesUp() {
        edit("before");
        time.pass(TARGET_MILLIS);
        cutOff(THIRD);
        edit("after");
        time.pass(TARGET_MILLIS);
        assertThat(fleet.lowestVersion(fleet.running(THIRD)), is(1L));
        assertThat(fleet.lowestVersion(fleet.running(SECOND)), is(2L));
        network.heal();
        time.pass(TARGET_MILLIS);
        assertThat(fleet.lowestVersion(fleet.running()), is(2L));
    }

    @Test
    void testZoneCutFromTheStoreGetsTheTableFromPeers() {
        network.cut(fleet.running(SECOND), Set.of(VirtualStore.ADDRESS));
        network.cut(Set.of(VirtualStore.ADDRESS), fleet.running(SECOND));
        edit("one");
        time.pass(TARGET_MILLIS);
        assertThat(fleet.lowestVersion(fleet.running()), is(1L));
    }

    private void cutOff(ZoneName zone) {
        List<VmId> inside = fleet.running(zone);
        List<VmId> outside = new ArrayList<>(fleet.running());
        outside.removeAll(inside);
        outside.add(VirtualStore.ADDRESS);
        network.cut(inside, outside);
        network.cut(outside, inside);
    }

    private void edit(String kind) {
        TableRepository repository = fleet.repository(fleet.running(FIRST).get(0));
        repository
                .read()
                .then(
                        base -> {
                            List<KindOfWork> rows = new ArrayList<>(base.rows());
                            rows.add(
                                    KindOfWork.builder(new KindName(kind), new TenantName("team"))
                                            .build());
                            return repository.edit(
                                    new TableEdit(
                                            new EditId(kind),
                                            "ana",
                                            base,
                                            OperatorTable.of(base.version(), rows)));
                        });
    }
}
