package org.damasktiller.daemon.local;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.damasktiller.daemon.entry.EntryNode;
import org.damasktiller.daemon.settings.EntrySettings;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/** Runs the entry VMs of a local run: one in each availability zone, and a second in the first. */
final class LocalCluster implements AutoCloseable {

    /** Takes a free port of loopback. */
    private static final String FREE_PORT = "127.0.0.1:0";

    /** How long a draining VM still serves, in milliseconds. */
    private static final long DRAIN_NOTICE_MILLIS = 500;

    /** The platform. */
    private final LocalPlatform platform;

    /** The availability zones with their regions. */
    private final Map<ZoneName, RegionName> zones;

    /** The entry VMs. */
    private final List<EntryNode> nodes = new ArrayList<>();

    /**
     * Starts the entry VMs.
     *
     * @param platform the platform
     * @param zones the availability zones with their regions
     */
    LocalCluster(LocalPlatform platform, Map<ZoneName, RegionName> zones) {
        this.platform = platform;
        this.zones = zones;
        List<ZoneName> names = List.copyOf(zones.keySet());
        names.forEach(this::startNode);
        startNode(names.get(0));
    }

    /**
     * Returns the addresses for callers of the VMs that take new work.
     *
     * @return the addresses
     */
    List<String> callerAddresses() {
        return nodes.stream().map(EntryNode::callerAddress).toList();
    }

    /**
     * Returns the address for operators of a VM that takes new work.
     *
     * @return the address
     */
    String operatorAddress() {
        return nodes.get(0).operatorAddress();
    }

    /**
     * Returns the addresses for operators of the VMs that take new work.
     *
     * @return the addresses
     */
    List<String> operatorAddresses() {
        return nodes.stream().map(EntryNode::operatorAddress).toList();
    }

    /**
     * Drains the last VM and forgets it.
     *
     * @return completed when it has ended, with whether no request was cut off
     */
    CompletableFuture<Boolean> drainLast() {
        EntryNode node = nodes.remove(nodes.size() - 1);
        return node.drain();
    }

    @Override
    public void close() {
        List<CompletableFuture<Boolean>> ends = nodes.stream().map(EntryNode::drain).toList();
        ends.forEach(CompletableFuture::join);
    }

    /**
     * Starts an entry VM and adds it to the list of VMs.
     *
     * @param zone its availability zone
     */
    private void startNode(ZoneName zone) {
        EntrySettings settings = new EntrySettings();
        Settings.read(settings, flags(zone), Map.of());
        settings.check();
        EntryNode node = EntryNode.start(settings);
        nodes.add(node);
        platform.list(
                new VmRecord(
                        node.name(),
                        node.callerAddress(),
                        zone,
                        new RackName(zone + "-rack-entry"),
                        VmRole.ENTRY,
                        VmState.LIVE));
    }

    /**
     * Makes the flags of an entry VM.
     *
     * @param zone its availability zone
     * @return the flags
     */
    private String[] flags(ZoneName zone) {
        String allZones =
                zones.entrySet().stream()
                        .map(entry -> entry.getKey() + "=" + entry.getValue())
                        .collect(Collectors.joining(","));
        List<String> flags =
                new ArrayList<>(List.of("--address", FREE_PORT, "--operator-address", FREE_PORT));
        flags.addAll(List.of("--peer-address", FREE_PORT, "--zone", zone.value()));
        flags.addAll(List.of("--zones", allZones, "--store", platform.storeAddress()));
        flags.addAll(List.of("--vm-list", platform.vmListAddress()));
        flags.addAll(List.of("--drain-notice-millis", Long.toString(DRAIN_NOTICE_MILLIS)));
        return flags.toArray(String[]::new);
    }
}
