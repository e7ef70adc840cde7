package org.damasktiller.vm;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.damasktiller.identity.ZoneName;

/** Holds one reading of the platform's list of VMs, indexed by name. Immutable. */
public final class FleetView {

    /** The view before the first reading. */
    public static final FleetView EMPTY = new FleetView(List.of());

    /** The VMs by name. */
    private final Map<String, VmRecord> byName;

    /** The VMs of each role that are not gone, by name. */
    private final Map<VmRole, List<VmRecord>> presentByRole;

    /**
     * Creates a view; of two records with one name the later counts.
     *
     * @param records the VMs
     */
    public FleetView(List<VmRecord> records) {
        byName =
                records.stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        VmRecord::name,
                                        Function.identity(),
                                        (first, second) -> second));
        presentByRole =
                byName.values().stream()
                        .filter(vm -> vm.state() != VmState.GONE)
                        .sorted(Comparator.comparing(VmRecord::name))
                        .collect(
                                Collectors.groupingBy(
                                        VmRecord::role, Collectors.toUnmodifiableList()));
    }

    /**
     * Applies changes to this view.
     *
     * @param changes the changes
     * @return the view after them
     */
    public FleetView with(VmChanges changes) {
        if (changes.whole()) {
            return new FleetView(changes.records());
        }
        List<VmRecord> records = new ArrayList<>(byName.values());
        records.addAll(changes.records());
        return new FleetView(records);
    }

    /**
     * Finds a VM.
     *
     * @param name the name of the VM
     * @return the VM, or empty if the list lacks it
     */
    public Optional<VmRecord> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Lists the VMs of one role that are not gone, by name.
     *
     * @param role the role
     * @return the VMs
     */
    public List<VmRecord> present(VmRole role) {
        return presentByRole.getOrDefault(role, List.of());
    }

    /**
     * Lists the VMs of one role and zone that are not gone, by name.
     *
     * @param role the role
     * @param zone the availability zone
     * @return the VMs
     */
    public List<VmRecord> present(VmRole role, ZoneName zone) {
        return present(role).stream().filter(vm -> vm.zone().equals(zone)).toList();
    }

    /**
     * Lists all VMs, gone ones included.
     *
     * @return the VMs, in no particular order
     */
    public List<VmRecord> all() {
        return List.copyOf(byName.values());
    }
}
