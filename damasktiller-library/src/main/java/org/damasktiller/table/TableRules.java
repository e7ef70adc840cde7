package org.damasktiller.table;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;

/** Checks what a single cell cannot show: zones that exist, sums and rows that must agree. */
public final class TableRules {

    /** The most that all guaranteed parts may add up to, in percent. */
    private static final int WHOLE_PERCENT = 100;

    /** The availability zones that exist, or an empty set if they are not known. */
    private final Set<ZoneName> zones;

    /**
     * Creates rules.
     *
     * @param zones the availability zones that exist, or an empty set to accept any name
     */
    public TableRules(Set<ZoneName> zones) {
        this.zones = Set.copyOf(zones);
    }

    /**
     * Checks a whole table.
     *
     * @param rows the rows, each kind once
     * @throws org.damasktiller.error.DamasktillerException with code BAD_TABLE that names row,
     *     column, value and what is allowed
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
     * Checks that the zones of a row exist.
     *
     * @param place where the row stands
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
     * Checks that the guaranteed parts do not add up to more than everything.
     *
     * @param place where the row stands
     * @param row the row
     * @param before the sum of the rows before it, in percent
     */
    private static void checkShare(String place, KindOfWork row, int before) {
        int left = WHOLE_PERCENT - before;
        if (row.minimumSharePercent() > left) {
            throw TableErrors.badCell(
                    place,
                    TableColumns.MINIMUM_SHARE,
                    row.minimumSharePercent() + "%",
                    "at most " + left + "%, as the rows above hold " + before + "% of 100%");
        }
    }

    /**
     * Checks that the rows of a tenant state the same limit for it.
     *
     * @param place where the row stands
     * @param row the row
     * @param limits the limits of the rows before it
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
