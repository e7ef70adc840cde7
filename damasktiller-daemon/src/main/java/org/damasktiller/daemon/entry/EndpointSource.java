package org.damasktiller.daemon.entry;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.damasktiller.identity.EndpointId;
import org.damasktiller.identity.RegionName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.routing.EndpointDescription;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/** Describes the endpoints of the platform's list to the router. */
final class EndpointSource implements Supplier<List<EndpointDescription>> {

    /** How many requests an endpoint handles at once. */
    private static final int SLOTS = 8;

    /** How many connections an endpoint accepts. */
    private static final int CONNECTIONS = 64;

    /** Gives the last reading of the list. */
    private final Supplier<FleetView> fleet;

    /** Tells whether an endpoint is known to be leaving before the list says so. */
    private final Predicate<EndpointId> leaving;

    /** The region of each availability zone. */
    private final Map<ZoneName, RegionName> regions;

    /**
     * Creates a source.
     *
     * @param fleet gives the last reading of the list
     * @param regions the region of each availability zone
     * @param leaving tells whether an endpoint is known to be leaving before the list says so
     */
    EndpointSource(
            Supplier<FleetView> fleet,
            Map<ZoneName, RegionName> regions,
            Predicate<EndpointId> leaving) {
        this.leaving = leaving;
        this.fleet = fleet;
        this.regions = Map.copyOf(regions);
    }

    @Override
    public List<EndpointDescription> get() {
        return fleet.get().present(VmRole.ENDPOINT).stream()
                .filter(vm -> regions.containsKey(vm.zone()))
                .map(this::describe)
                .toList();
    }

    /**
     * Describes one endpoint.
     *
     * @param vm the endpoint's line of the list
     * @return the description
     */
    private EndpointDescription describe(VmRecord vm) {
        EndpointId endpoint = new EndpointId(vm.name());
        return new EndpointDescription(
                endpoint,
                vm.address(),
                vm.zone(),
                regions.getOrDefault(vm.zone(), new RegionName(vm.zone().value())),
                SLOTS,
                CONNECTIONS,
                vm.state() == VmState.LEAVING || leaving.test(endpoint));
    }
}
