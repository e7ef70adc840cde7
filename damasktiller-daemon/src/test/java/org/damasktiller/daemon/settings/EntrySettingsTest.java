package org.damasktiller.daemon.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.identity.RegionName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntrySettingsTest {

    private static final List<String> COMPLETE =
            List.of(
                    "--address",
                    "127.0.0.1:8080",
                    "--operator-address",
                    "127.0.0.1:8081",
                    "--peer-address",
                    "127.0.0.1:8082",
                    "--zone",
                    "leinster-1",
                    "--zones",
                    "leinster-1=leinster,connacht-1=connacht",
                    "--store",
                    "127.0.0.1:9000",
                    "--vm-list",
                    "127.0.0.1:9001");

    @Test
    void testCompleteSettingsAreAccepted() {
        EntrySettings settings = read(COMPLETE, Map.of());
        settings.check();
        assertThat(settings.region(), is(new RegionName("leinster")));
        assertThat(settings.address().getPort(), is(8080));
    }

    @Test
    void testFlagGoesBeforeVariable() {
        Map<String, String> environment = new HashMap<>();
        environment.put("DAMASKTILLER_ZONE", "connacht-1");
        environment.put("DAMASKTILLER_CELL_LEASE_MILLIS", "5000");
        EntrySettings settings = read(COMPLETE, environment);
        assertThat(settings.zone().value(), is("leinster-1"));
        assertThat(settings.cellLeaseMillis(), is(5000L));
    }

    @ParameterizedTest
    @CsvSource({
        "--address,localhost:1",
        "--address,127.0.0.1",
        "--address,127.0.0.1:70000",
        "--zone,munster-1",
        "--zones,leinster-1",
        "--cells-per-zone,0",
        "--cell-lease-millis,5",
        "--drain-timeout-millis,-1",
        "--maximum-body-bytes,0",
        "--store-timeout-millis,many"
    })
    void testRefusalNamesSettingAndValue(String flag, String value) {
        List<String> arguments = new ArrayList<>(COMPLETE);
        int position = arguments.indexOf(flag);
        if (position >= 0) {
            arguments.set(position + 1, value);
        } else {
            arguments.addAll(List.of(flag, value));
        }
        DamasktillerException failure =
                assertThrows(DamasktillerException.class, () -> read(arguments, Map.of()).check());
        assertThat(failure.code(), is(ErrorCode.BAD_SETTING));
        assertThat(
                failure.getMessage(),
                allOf(
                        containsString(flag.equals("--zones") ? "--zone" : flag),
                        containsString(value)));
    }

    private static EntrySettings read(List<String> arguments, Map<String, String> environment) {
        EntrySettings settings = new EntrySettings();
        Settings.read(settings, arguments.toArray(String[]::new), environment);
        return settings;
    }
}
