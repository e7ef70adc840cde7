package org.damasktiller.table;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.damasktiller.identity.KindName;
import org.damasktiller.identity.TenantName;

/** Defines the columns of the table: their names, formats, ranges and order. */
final class TableColumns {

    /** The name of the column of the kind, which is the key of a row. */
    static final String KIND = "kind";

    /** The name of the column of the tenant. */
    static final String TENANT = "tenant";

    /** The name of the column of the guaranteed share. */
    static final String MINIMUM_SHARE = "minimum_share";

    /** The name of the column of the allowed availability zones. */
    static final String ALLOWED_ZONES = "place";

    /** The name of the column of the running limit of the whole tenant. */
    static final String TENANT_LIMIT = "tenant_limit_running";

    /** Converts the kind, which is the key of a row. */
    static final NameFormat<KindName> KIND_FORMAT = new NameFormat<>(KindName::new);

    /** The largest weight of a kind. */
    private static final int MAXIMUM_WEIGHT = 1000;

    /** The largest guaranteed share, in percent. */
    private static final int MAXIMUM_PERCENT = 100;

    /** The largest limit of concurrently running tasks or requests. */
    private static final int MAXIMUM_RUNNING_LIMIT = 1_000_000;

    /** The largest limit of starts per second. */
    private static final int MAXIMUM_RATE_PER_SECOND = 100_000;

    /** The largest number of accelerators of one task. */
    private static final int MAXIMUM_ACCELERATORS = 64;

    /** The columns other than the key, in the order in which they are written. */
    private static final ImmutableList<TableColumn<?>> VALUE_COLUMNS =
            ImmutableList.of(
                    new TableColumn<>(
                            TENANT,
                            new NameFormat<>(TenantName::new),
                            KindOfWork::tenant,
                            KindOfWork.Builder::tenant),
                    new TableColumn<>(
                            "class",
                            new EnumFormat<>(List.of(WorkClass.values())),
                            KindOfWork::workClass,
                            KindOfWork.Builder::workClass),
                    new TableColumn<>(
                            "weight",
                            new IntegerFormat(1, MAXIMUM_WEIGHT, ""),
                            KindOfWork::weight,
                            KindOfWork.Builder::weight),
                    new TableColumn<>(
                            MINIMUM_SHARE,
                            new IntegerFormat(0, MAXIMUM_PERCENT, "%"),
                            KindOfWork::minimumSharePercent,
                            KindOfWork.Builder::minimumSharePercent),
                    new TableColumn<>(
                            "limit_running",
                            new IntegerFormat(0, MAXIMUM_RUNNING_LIMIT, ""),
                            KindOfWork::runningLimit,
                            KindOfWork.Builder::runningLimit),
                    new TableColumn<>(
                            "limit_rate",
                            new IntegerFormat(0, MAXIMUM_RATE_PER_SECOND, "/s"),
                            KindOfWork::ratePerSecond,
                            KindOfWork.Builder::ratePerSecond),
                    new TableColumn<>(
                            "processors",
                            new ProcessorFormat(),
                            row -> row.declaredResources().milliProcessors(),
                            KindOfWork.Builder::milliProcessors),
                    new TableColumn<>(
                            "memory",
                            QuantityFormat.memory(),
                            row -> row.declaredResources().memoryMegabytes(),
                            KindOfWork.Builder::memoryMegabytes),
                    new TableColumn<>(
                            "accelerators",
                            new IntegerFormat(0, MAXIMUM_ACCELERATORS, ""),
                            row -> row.declaredResources().accelerators(),
                            KindOfWork.Builder::accelerators),
                    new TableColumn<>(
                            "run_time",
                            QuantityFormat.time(),
                            KindOfWork::runTimeMillis,
                            KindOfWork.Builder::runTimeMillis),
                    new TableColumn<>(
                            "latency_target",
                            QuantityFormat.time(),
                            KindOfWork::latencyTargetMillis,
                            KindOfWork.Builder::latencyTargetMillis),
                    new TableColumn<>(
                            "deadline",
                            QuantityFormat.time(),
                            KindOfWork::deadlineMillis,
                            KindOfWork.Builder::deadlineMillis),
                    new TableColumn<>(
                            "exclusive",
                            new FlagFormat(),
                            KindOfWork::exclusive,
                            KindOfWork.Builder::exclusive),
                    new TableColumn<>(
                            "repeat",
                            new EnumFormat<>(List.of(RepeatPolicy.values())),
                            KindOfWork::repeatPolicy,
                            KindOfWork.Builder::repeatPolicy),
                    new TableColumn<>(
                            ALLOWED_ZONES,
                            new ZoneListFormat(),
                            KindOfWork::allowedZones,
                            KindOfWork.Builder::allowedZones),
                    new TableColumn<>(
                            "spill",
                            new EnumFormat<>(List.of(SpillScope.values())),
                            KindOfWork::spillScope,
                            KindOfWork.Builder::spillScope),
                    new TableColumn<>(
                            TENANT_LIMIT,
                            new IntegerFormat(0, MAXIMUM_RUNNING_LIMIT, ""),
                            KindOfWork::tenantRunningLimit,
                            KindOfWork.Builder::tenantRunningLimit));

    /** Prevents instantiation. */
    private TableColumns() {}

    /**
     * Returns the columns other than the key.
     *
     * @return the columns in the order in which they are written
     */
    static ImmutableList<TableColumn<?>> valueColumns() {
        return VALUE_COLUMNS;
    }

    /**
     * Finds a column other than the key.
     *
     * @param header the name of the column
     * @return the column, or empty if there is none
     */
    static Optional<TableColumn<?>> findValueColumn(String header) {
        return VALUE_COLUMNS.stream().filter(column -> column.header().equals(header)).findFirst();
    }

    /**
     * Returns the names of all columns, the key first.
     *
     * @return the names, in the order in which they are written
     */
    static List<String> headers() {
        ImmutableList.Builder<String> headers = ImmutableList.builder();
        headers.add(KIND);
        VALUE_COLUMNS.forEach(column -> headers.add(column.header()));
        return headers.build();
    }
}
