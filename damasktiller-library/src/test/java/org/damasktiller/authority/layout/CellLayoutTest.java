package org.damasktiller.authority.layout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;
import org.junit.jupiter.api.Test;

class CellLayoutTest {

    private static final ZoneName LEINSTER = new ZoneName("leinster-1");
    private static final ZoneName CONNACHT = new ZoneName("connacht-1");
    private static final TenantName TENANT = new TenantName("dispatch");

    private final CellLayout layout = new CellLayout(List.of(LEINSTER, CONNACHT), 3);

    @Test
    void testRackStaysInItsZone() {
        CellId cell = layout.cellOf(CONNACHT, new RackName("rack-7"));
        assertThat(layout.cellsOf(CONNACHT), hasItem(cell));
        assertThat(layout.zoneOf(cell), is(CONNACHT));
    }

    @Test
    void testKeyStaysWithinItsPlaces() {
        for (int index = 0; index < 100; index++) {
            CellId cell = layout.cellOf(TENANT, new RequestKey("key-" + index), List.of(LEINSTER));
            assertThat(layout.zoneOf(cell), is(LEINSTER));
        }
    }

    @Test
    void testKeysSpreadOverAllCells() {
        Map<CellId, Integer> counts = new HashMap<>();
        for (int index = 0; index < 6_000; index++) {
            CellId cell = layout.cellOf(TENANT, new RequestKey("key-" + index), List.of());
            counts.merge(cell, 1, Integer::sum);
        }
        assertThat(counts.size(), is(6));
        counts.values().forEach(count -> assertThat(count, greaterThan(800)));
    }

    @Test
    void testCellOfJobIsReadFromItsIdentity() {
        CellId cell = layout.cellsOf(LEINSTER).get(1);
        assertThat(layout.cellOf(new JobId(cell + "-12-345")).orElseThrow(), is(cell));
        assertThat(layout.cellOf(new JobId("munster-1.0-12-345")).isPresent(), is(false));
        assertThat(layout.cellOf(new JobId("nonsense")).isPresent(), is(false));
    }

    @Test
    void testSharesOfALimitAddUpToIt() {
        for (int limit = 1; limit < 20; limit++) {
            int sum = 0;
            for (ZoneName zone : List.of(LEINSTER, CONNACHT)) {
                for (CellId cell : layout.cellsOf(zone)) {
                    sum += layout.share(limit, List.of(), cell);
                }
            }
            assertThat(sum, is(limit));
        }
        CellId elsewhere = layout.cellsOf(CONNACHT).get(0);
        assertThat(layout.share(10, List.of(LEINSTER), elsewhere), is(0));
        assertThat(layout.share(0, List.of(), elsewhere), is(Integer.MAX_VALUE));
    }

    @Test
    void testSameKeyOfAnotherTenantIsAnotherKey() {
        long differing = 0;
        for (int index = 0; index < 100; index++) {
            RequestKey key = new RequestKey("key-" + index);
            CellId first = layout.cellOf(TENANT, key, List.of());
            CellId second = layout.cellOf(new TenantName("accounts"), key, List.of());
            differing += first.equals(second) ? 0 : 1;
        }
        assertThat(differing, greaterThan(50L));
    }
}
