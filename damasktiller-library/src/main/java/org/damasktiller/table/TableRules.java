package org.damasktiller.table;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;

/**
 * Validates the constraints that need the whole table or the set of existing availability zones.
 */
public final class TableRules {

    /** The largest sum of all guaranteed shares, in percent. */
    private static final int WHOLE_PERCENT = 100;

    /** The existing availability zones, or an empty set if any name is accepted. */
    private final Set<ZoneName> zones;

    /**
     * Creates a validator.
     *
     * @param zones the existing availability zones, or an empty set to accept any name
     */
    public TableRules(Set<ZoneName> zones) {
        this.zones = Set.copyOf(zones);
    }

    /**
     * Validates a whole table: zones, guaranteed shares and limits of tenants.
     *
     * @param rows the rows in the order of the file, each kind once
     * @throws org.damasktiller.error.DamasktillerException with code BAD_TABLE if a row is invalid;
     *     the message names the row, column, value and allowed values
     */
    public void check(List<KindOfWork> rows) {
        int shares = 0;
        Map<TenantName, Integer> limits = new HashMap<>();
        for (int index = 0; index < rows.size(); index++) {
            KindOfWork row = rows.get(index);
            String place = index + 2 + " (" + row.name() + ")";
            checkPlaces(place, row);
            checkShare(place, row, shares);
            shares += row.minimumSharePercent();
            checkTenantLimit(place, row, limits);
        }
    }

    /**
     * Rejects a row that names an availability zone that does not exist.
     *
     * @param place the line number and the kind of the row, for error messages
     * @param row the row
     */
    private void checkPlaces(String place, KindOfWork row) {
        if (zones.isEmpty() || zones.containsAll(row.places())) {
            return;
        }
        String value = new PlaceFormat().format(row.places());
        throw TableErrors.badCell(
                place,
                TableColumns.PLACE,
                value,
                "any or zones of " + zones.stream().sorted().toList());
    }

    /**
     * Rejects a row if the guaranteed shares add up to more than 100 percent.
     *
     * @param place the line number and the kind of the row, for error messages
     * @param row the row
     * @param before the sum of the shares of the rows above, in percent
     */
    private static void checkShare(String place, KindOfWork row, int before) {
        int left = WHOLE_PERCENT - before;
        if (row.minimumSharePercent() > left) {
            throw TableErrors.badCell(
                    place,
                    TableColumns.MINIMUM_SHARE,
                    row.minimumSharePercent() + "%",
                    "at most " + left + "%, as the rows above reserve " + before + "% of 100%");
        }
    }

    /**
     * Rejects a row whose tenant limit differs from that of an earlier row of the same tenant.
     *
     * @param place the line number and the kind of the row, for error messages
     * @param row the row
     * @param limits the limits by tenant in the rows above; the limit of this row is added
     */
    private static void checkTenantLimit(
            String place, KindOfWork row, Map<TenantName, Integer> limits) {
        Integer before = limits.putIfAbsent(row.tenant(), row.tenantRunningLimit());
        if (before != null && before != row.tenantRunningLimit()) {
            throw TableErrors.badCell(
                    place,
                    TableColumns.TENANT_LIMIT,
                    Integer.toString(row.tenantRunningLimit()),
                    before + ", as in the rows above of tenant " + row.tenant());
        }
    }
}
