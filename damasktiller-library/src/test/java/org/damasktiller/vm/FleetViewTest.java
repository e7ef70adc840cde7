package org.damasktiller.vm;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.ZoneName;
import org.junit.jupiter.api.Test;

class FleetViewTest {

    private static final ZoneName LEINSTER = new ZoneName("leinster-1");
    private static final ZoneName CONNACHT = new ZoneName("connacht-1");

    private final FleetView view =
            new FleetView(
                    List.of(
                            vm("worker-2", LEINSTER, VmState.LIVE),
                            vm("worker-1", LEINSTER, VmState.LEAVING),
                            vm("worker-3", LEINSTER, VmState.GONE),
                            vm("worker-4", CONNACHT, VmState.LIVE)));

    @Test
    void testPresentLeavesOutGoneVmsAndOtherZones() {
        assertThat(
                view.present(VmRole.WORKER, LEINSTER).stream().map(VmRecord::name).toList(),
                is(List.of("worker-1", "worker-2")));
        assertThat(view.present(VmRole.ENDPOINT), is(List.of()));
    }

    @Test
    void testGoneVmIsStillFound() {
        assertThat(view.find("worker-3").orElseThrow().state(), is(VmState.GONE));
        assertThat(view.find("worker-9").isPresent(), is(false));
    }

    private static VmRecord vm(String name, ZoneName zone, VmState state) {
        return new VmRecord(
                name, "127.0.0.1:1", zone, new RackName("rack-1"), VmRole.WORKER, state);
    }
}
