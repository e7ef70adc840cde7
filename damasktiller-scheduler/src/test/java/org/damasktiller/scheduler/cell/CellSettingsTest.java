package org.damasktiller.scheduler.cell;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests that lease times stay within the limits of the deployment. */
class CellSettingsTest {

    @Test
    void leasesStayWithinTheDeploymentLimits() {
        CellSettings settings =
                CellSettings.builder()
                        .maximumWorkerLeaseMillis(3_000)
                        .minimumStoreLeaseMillis(5_000)
                        .build();
        assertThat(settings.workerLeaseMillis(), is(3_000L));
        assertThat(settings.storeLeaseMillis(), is(5_000L));
    }

    @Test
    void widerLimitsKeepTheDefaults() {
        CellSettings defaults = CellSettings.builder().build();
        CellSettings settings =
                CellSettings.builder()
                        .maximumWorkerLeaseMillis(60_000)
                        .minimumStoreLeaseMillis(1)
                        .build();
        assertThat(settings.workerLeaseMillis(), is(defaults.workerLeaseMillis()));
        assertThat(settings.storeLeaseMillis(), is(defaults.storeLeaseMillis()));
    }
}
