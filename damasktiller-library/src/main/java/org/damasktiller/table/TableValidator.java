package org.damasktiller.table;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.damasktiller.identity.TenantName;
import org.damasktiller.identity.ZoneName;

/**
 * Validates the constraints that need the whole table or the set of existing availability zones.
 */
public final class TableValidator {

    /** The number of the first row below the header row. */
    private static final int FIRST_ROW_NUMBER = 2;

    /** The largest sum of all guaranteed shares, in percent. */
    private static final int MAXIMUM_SHARE_SUM_PERCENT = 100;

    /** The existing availability zones, or an empty set if any name is accepted. */
    private final Set<ZoneName> existingZones;

    /**
     * Creates a validator.
     *
     * @param existingZones the existing availability zones, or an empty set to accept any name
     */
    public TableValidator(Set<ZoneName> existingZones) {
        this.existingZones = Set.copyOf(existingZones);
    }

    /**
     * Validates a whole table that has no blank rows: zones, guaranteed shares and limits of
     * tenants.
     *
     * @param rows the rows in the order of the file, each kind once
     * @throws org.damasktiller.error.DamasktillerException with code BAD_TABLE if a row is invalid;
     *     the message names the row, column, value and allowed values
     */
    public void validate(List<KindOfWork> rows) {
        validate(rows, row -> rows.indexOf(row) + FIRST_ROW_NUMBER);
    }

    /**
     * Validates a whole table.
     *
     * @param rows the rows in the order of the file, each kind once
     * @param rowNumber returns the number of a row in the file, for error messages
     * @throws org.damasktiller.error.DamasktillerException with code BAD_TABLE if a row is invalid;
     *     the message names the row, column, value and allowed values
     */
    void validate(List<KindOfWork> rows, ToIntFunction<KindOfWork> rowNumber) {
        int shareSumPercent = 0;
        Map<TenantName, Integer> limitsByTenant = new HashMap<>();
        for (KindOfWork row : rows) {
            String rowLabel = rowNumber.applyAsInt(row) + " (" + row.name() + ")";
            checkZones(rowLabel, row);
            checkShare(rowLabel, row, shareSumPercent);
            shareSumPercent += row.minimumSharePercent();
            checkTenantLimit(rowLabel, row, limitsByTenant);
        }
    }

    /**
     * Rejects a row that names an availability zone that does not exist.
     *
     * @param rowLabel the row number and the kind of the row, for error messages
     * @param row the row
     */
    private void checkZones(String rowLabel, KindOfWork row) {
        if (existingZones.isEmpty() || existingZones.containsAll(row.allowedZones())) {
            return;
        }
        String value = new ZoneListFormat().format(row.allowedZones());
        throw TableErrors.badCell(
                rowLabel,
                TableColumns.ALLOWED_ZONES,
                value,
                "any or zones of " + existingZones.stream().sorted().toList());
    }

    /**
     * Rejects a row if the guaranteed shares add up to more than 100 percent.
     *
     * @param rowLabel the row number and the kind of the row, for error messages
     * @param row the row
     * @param allocatedPercent the sum of the shares of the rows above, in percent
     */
    private static void checkShare(String rowLabel, KindOfWork row, int allocatedPercent) {
        int remainingPercent = MAXIMUM_SHARE_SUM_PERCENT - allocatedPercent;
        if (row.minimumSharePercent() > remainingPercent) {
            throw TableErrors.badCell(
                    rowLabel,
                    TableColumns.MINIMUM_SHARE,
                    row.minimumSharePercent() + "%",
                    "at most "
                            + remainingPercent
                            + "%, as the rows above reserve "
                            + allocatedPercent
                            + "% of 100%");
        }
    }

    /**
     * Rejects a row whose tenant limit differs from that of an earlier row of the same tenant.
     *
     * @param rowLabel the row number and the kind of the row, for error messages
     * @param row the row
     * @param limitsByTenant the limits by tenant in the rows above; the limit of this row is added
     */
    private static void checkTenantLimit(
            String rowLabel, KindOfWork row, Map<TenantName, Integer> limitsByTenant) {
        Integer expectedLimit = limitsByTenant.putIfAbsent(row.tenant(), row.tenantRunningLimit());
        if (expectedLimit != null && expectedLimit != row.tenantRunningLimit()) {
            throw TableErrors.badCell(
                    rowLabel,
                    TableColumns.TENANT_LIMIT,
                    Integer.toString(row.tenantRunningLimit()),
                    expectedLimit + ", as in the rows above of tenant " + row.tenant());
        }
    }
}
