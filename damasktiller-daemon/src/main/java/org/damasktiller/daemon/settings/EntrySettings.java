package org.damasktiller.daemon.settings;

import com.beust.jcommander.Parameter;
import com.google.common.base.Splitter;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.ownership.OwnershipSettings;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;
import org.jspecify.annotations.Nullable;

/** Holds the settings of an entry VM. */
public final class EntrySettings {

    /** The largest time accepted, in milliseconds: one day. */
    private static final long MAXIMUM_MILLIS = 86_400_000;

    /** The largest body that may be allowed, in bytes. */
    private static final long MAXIMUM_BODY_LIMIT_BYTES = 64 << 20;

    /** The largest number of cells of one availability zone. */
    private static final long MAXIMUM_CELLS_PER_ZONE = 200;

    /** The largest number of claim shards. */
    private static final long MAXIMUM_CLAIM_SHARDS = 256;

    /** The largest number of threads. */
    private static final long MAXIMUM_THREADS = 64;

    /** How many renewals fit into a lease on a cell. */
    private static final long RENEWALS_PER_LEASE = 3;

    /** What a zone list looks like, for error messages. */
    private static final String ZONES_ALLOWED =
            "zone=region pairs separated by commas, such as"
                    + " leinster-1=leinster,connacht-1=connacht";

    /** The address for callers. */
    @Parameter(
            names = "--address",
            description = "IP number and port of the callers' HTTP interface",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress address;

    /** The address for operators. */
    @Parameter(
            names = "--operator-address",
            description = "IP number and port of the operators' HTTP interface",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress operatorAddress;

    /** The address for other entry VMs. */
    @Parameter(
            names = "--peer-address",
            description = "IP number and port for other entry VMs, TCP and UDP",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress peerAddress;

    /** The availability zone. */
    @Parameter(names = "--zone", description = "Availability zone of this VM")
    private @Nullable String zone;

    /** The availability zones with their regions. */
    @Parameter(names = "--zones", description = "All availability zones with their regions")
    private @Nullable String zones;

    /** The address of the key-value service. */
    @Parameter(
            names = "--store",
            description = "IP number and port of the platform's key-value service",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress store;

    /** The address of the list of VMs. */
    @Parameter(
            names = "--vm-list",
            description = "IP number and port of the platform's list of VMs",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress vmList;

    /** The peers to join first. */
    @Parameter(
            names = "--seeds",
            description = "Peer addresses of some entry VMs, separated by commas",
            listConverter = AddressListConverter.class)
    private List<InetSocketAddress> seeds = List.of();

    /** The cells of each availability zone. */
    @Parameter(
            names = "--cells-per-zone",
            description = "Number of cells of each availability zone, the same on every VM")
    private int cellsPerZone = 1;

    /** The number of claim shards. */
    @Parameter(
            names = "--claim-shards",
            description = "Number of claim shards, the same on every VM and never changed")
    private int claimShards = 4;

    /** How long to wait for the key-value service. */
    @Parameter(
            names = "--store-timeout-millis",
            description = "Longest wait for an answer of the key-value service, in milliseconds")
    private long storeTimeoutMillis = 2_000;

    /** How often the list of VMs is read. */
    @Parameter(
            names = "--vm-list-interval-millis",
            description = "Time between two readings of the list of VMs, in milliseconds")
    private long vmListIntervalMillis = 1_000;

    /** How long a cell is owned without a renewal. */
    @Parameter(
            names = "--cell-lease-millis",
            description = "Duration of the lease on a cell or claim shard, in milliseconds")
    private long cellLeaseMillis = 6_000;

    /** How long tasks are renewed without the key-value service. */
    @Parameter(
            names = "--outage-grace-millis",
            description =
                    "How long an owner goes on without the key-value service, in milliseconds")
    private long outageGraceMillis = 14_400_000;

    /** How long to wait for a worker. */
    @Parameter(
            names = "--worker-timeout-millis",
            description = "Longest wait for an answer of a worker, in milliseconds")
    private long workerTimeoutMillis = 2_000;

    /** How long to wait for another entry VM. */
    @Parameter(
            names = "--peer-timeout-millis",
            description = "Longest wait for an answer of another entry VM, in milliseconds")
    private long peerTimeoutMillis = 8_000;

    /** The number of threads on which decisions are taken. */
    @Parameter(names = "--decision-threads", description = "Threads on which decisions are taken")
    private int decisionThreads = 2;

    /** How long a shutdown goes on serving so that the balancer notices. */
    @Parameter(
            names = "--drain-notice-millis",
            description =
                    "How long a draining VM still serves, for the balancer to notice, in"
                            + " milliseconds")
    private long drainNoticeMillis = 3_000;

    /** How long a shutdown waits for requests in flight. */
    @Parameter(
            names = "--drain-timeout-millis",
            description = "Longest wait for requests in flight at shutdown, in milliseconds")
    private long drainTimeoutMillis = 30_000;

    /** The largest body accepted from a caller. */
    @Parameter(
            names = "--maximum-body-bytes",
            description = "Largest request body accepted from a caller, in bytes")
    private long maximumBodyBytes = 1 << 20;

    /** Creates settings with their defaults; {@link Settings#read} fills them. */
    public EntrySettings() {}

    /** Checks every setting. */
    public void check() {
        address();
        operatorAddress();
        peerAddress();
        store();
        vmList();
        if (!zones().containsKey(zone())) {
            throw Settings.refused("--zone", zone().value(), "one of " + zones().keySet(), null);
        }
        Settings.inRange("--cells-per-zone", cellsPerZone, 1, MAXIMUM_CELLS_PER_ZONE);
        Settings.inRange("--claim-shards", claimShards, 1, MAXIMUM_CLAIM_SHARDS);
        Settings.inRange("--store-timeout-millis", storeTimeoutMillis, 1, MAXIMUM_MILLIS);
        Settings.inRange("--vm-list-interval-millis", vmListIntervalMillis, 1, MAXIMUM_MILLIS);
        Settings.inRange("--cell-lease-millis", cellLeaseMillis, 100, MAXIMUM_MILLIS);
        Settings.inRange("--outage-grace-millis", outageGraceMillis, 0, MAXIMUM_MILLIS);
        Settings.inRange("--worker-timeout-millis", workerTimeoutMillis, 1, MAXIMUM_MILLIS);
        Settings.inRange("--peer-timeout-millis", peerTimeoutMillis, 1, MAXIMUM_MILLIS);
        Settings.inRange("--decision-threads", decisionThreads, 1, MAXIMUM_THREADS);
        Settings.inRange("--drain-timeout-millis", drainTimeoutMillis, 0, MAXIMUM_MILLIS);
        Settings.inRange("--drain-notice-millis", drainNoticeMillis, 0, drainTimeoutMillis);
        Settings.inRange("--maximum-body-bytes", maximumBodyBytes, 1, MAXIMUM_BODY_LIMIT_BYTES);
    }

    /**
     * Returns the address for callers.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return Settings.required("--address", address, AddressConverter.ALLOWED);
    }

    /**
     * Returns the address for operators.
     *
     * @return the address
     */
    public InetSocketAddress operatorAddress() {
        return Settings.required("--operator-address", operatorAddress, AddressConverter.ALLOWED);
    }

    /**
     * Returns the address for other entry VMs.
     *
     * @return the address
     */
    public InetSocketAddress peerAddress() {
        return Settings.required("--peer-address", peerAddress, AddressConverter.ALLOWED);
    }

    /**
     * Returns the availability zone of this VM.
     *
     * @return the zone
     */
    public ZoneName zone() {
        String value = Settings.required("--zone", zone, "the name of an availability zone");
        return new ZoneName(value);
    }

    /**
     * Returns the region of this VM.
     *
     * @return the region
     */
    public RegionName region() {
        RegionName region = zones().get(zone());
        return Settings.required("--zone", region, "one of " + zones().keySet());
    }

    /**
     * Returns all availability zones with their regions, in the order given.
     *
     * @return the region of each zone
     */
    public Map<ZoneName, RegionName> zones() {
        String value = Settings.required("--zones", zones, ZONES_ALLOWED);
        try {
            Map<ZoneName, RegionName> result = new LinkedHashMap<>();
            Splitter.on(',')
                    .trimResults()
                    .withKeyValueSeparator('=')
                    .split(value)
                    .forEach(
                            (name, region) ->
                                    result.put(new ZoneName(name), new RegionName(region)));
            return result;
        } catch (IllegalArgumentException exception) {
            throw Settings.refused("--zones", value, ZONES_ALLOWED, exception);
        }
    }

    /**
     * Returns the address of the key-value service.
     *
     * @return the address
     */
    public InetSocketAddress store() {
        return Settings.required("--store", store, AddressConverter.ALLOWED);
    }

    /**
     * Returns the address of the list of VMs.
     *
     * @return the address
     */
    public InetSocketAddress vmList() {
        return Settings.required("--vm-list", vmList, AddressConverter.ALLOWED);
    }

    /**
     * Returns the peers to join first.
     *
     * @return their addresses
     */
    public List<InetSocketAddress> seeds() {
        return seeds;
    }

    /**
     * Returns the number of cells of each availability zone.
     *
     * @return the number of cells
     */
    public int cellsPerZone() {
        return cellsPerZone;
    }

    /**
     * Returns the number of claim shards.
     *
     * @return the number of shards
     */
    public int claimShards() {
        return claimShards;
    }

    /**
     * Returns how long to wait for the key-value service.
     *
     * @return the time, in milliseconds
     */
    public long storeTimeoutMillis() {
        return storeTimeoutMillis;
    }

    /**
     * Returns how often the list of VMs is read.
     *
     * @return the time between two readings, in milliseconds
     */
    public long vmListIntervalMillis() {
        return vmListIntervalMillis;
    }

    /**
     * Returns how long a cell is owned without a renewal.
     *
     * @return the time, in milliseconds
     */
    public long cellLeaseMillis() {
        return cellLeaseMillis;
    }

    /**
     * Returns how long an owner goes on without the key-value service.
     *
     * @return the time, in milliseconds
     */
    public long outageGraceMillis() {
        return outageGraceMillis;
    }

    /**
     * Returns how long to wait for a worker.
     *
     * @return the time, in milliseconds
     */
    public long workerTimeoutMillis() {
        return workerTimeoutMillis;
    }

    /**
     * Returns how long to wait for another entry VM.
     *
     * @return the time, in milliseconds
     */
    public long peerTimeoutMillis() {
        return peerTimeoutMillis;
    }

    /**
     * Returns the number of threads on which decisions are taken.
     *
     * @return the number of threads
     */
    public int decisionThreads() {
        return decisionThreads;
    }

    /**
     * Returns the times and bounds of the owners of cells.
     *
     * @return the settings of a cell
     */
    public CellSettings cellSettings() {
        OwnershipSettings standard = OwnershipSettings.DEFAULT;
        return CellSettings.DEFAULT.withOwnership(
                new OwnershipSettings(
                        cellLeaseMillis,
                        cellLeaseMillis / RENEWALS_PER_LEASE,
                        standard.pollMillis(),
                        standard.takeoverDelayMillis(),
                        outageGraceMillis,
                        standard.leaseOfTasksMillis(),
                        standard.clockMarginMillis()));
    }

    /**
     * Returns how long a shutdown waits for requests in flight.
     *
     * @return the time, in milliseconds
     */
    public long drainTimeoutMillis() {
        return drainTimeoutMillis;
    }

    /**
     * Returns how long a draining VM still serves, for the balancer to notice.
     *
     * @return the time, in milliseconds
     */
    public long drainNoticeMillis() {
        return drainNoticeMillis;
    }

    /**
     * Returns the largest body accepted from a caller.
     *
     * @return the size, in bytes
     */
    public int maximumBodyBytes() {
        return Math.toIntExact(maximumBodyBytes);
    }
}
