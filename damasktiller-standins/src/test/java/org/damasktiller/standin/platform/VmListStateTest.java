package org.damasktiller.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import org.damasktiller.identity.RackName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmChanges;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;
import org.junit.jupiter.api.Test;

class VmListStateTest {

    private static final long LAG_MILLIS = 100;

    private final VmListState list = new VmListState(LAG_MILLIS);

    @Test
    void testChangeIsSeenAfterTheLag() {
        list.put(vm("worker-1", VmState.LIVE), 0);
        assertThat(list.changesSince(0, LAG_MILLIS - 1).records(), hasSize(0));
        assertThat(list.changesSince(0, LAG_MILLIS).records(), hasSize(1));
    }

    @Test
    void testOnlyWhatChangedIsRead() {
        list.put(vm("worker-1", VmState.LIVE), 0);
        list.put(vm("worker-2", VmState.LIVE), 0);
        VmChanges first = list.changesSince(0, LAG_MILLIS);
        assertThat(first.whole(), is(true));
        list.put(vm("worker-1", VmState.GONE), LAG_MILLIS);
        VmChanges second = list.changesSince(first.revision(), 2 * LAG_MILLIS);
        assertThat(second.whole(), is(false));
        assertThat(second.records(), hasSize(1));
        FleetView view = FleetView.EMPTY.with(first).with(second);
        assertThat(view.find("worker-1").orElseThrow().state(), is(VmState.GONE));
        assertThat(view.find("worker-2").orElseThrow().state(), is(VmState.LIVE));
        assertThat(list.changesSince(second.revision(), 2 * LAG_MILLIS).records(), hasSize(0));
    }

    @Test
    void testUnknownRevisionGivesTheWholeList() {
        list.put(vm("worker-1", VmState.LIVE), 0);
        VmChanges changes = list.changesSince(1_000, LAG_MILLIS);
        assertThat(changes.whole(), is(true));
        assertThat(changes.records(), hasSize(1));
    }

    private static VmRecord vm(String name, VmState state) {
        return new VmRecord(
                name,
                "127.0.0.1:1",
                new ZoneName("leinster-1"),
                new RackName("rack-1"),
                VmRole.WORKER,
                state);
    }
}
