package org.damasktiller.daemon.command;

import com.beust.jcommander.Parameter;
import java.net.InetSocketAddress;
import org.damasktiller.daemon.settings.AddressConverter;
import org.damasktiller.daemon.settings.Settings;
import org.damasktiller.identity.RackName;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.resource.Resources;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;
import org.jspecify.annotations.Nullable;

/** Holds the flags of the stand-ins. */
final class StandInOptions {

    /** The number of thousandths in a processor. */
    private static final long MILLI = 1_000;

    /** The largest number accepted for an amount or a time. */
    private static final long MAXIMUM = 100_000_000;

    /** The address to listen on. */
    @Parameter(
            names = "--address",
            description = "IP number and port to listen on",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress address;

    /** The address of the list of VMs. */
    @Parameter(
            names = "--vm-list",
            description = "IP number and port of the stand-in list, to add this VM to it",
            converter = AddressConverter.class)
    private @Nullable InetSocketAddress vmList;

    /** The name of the VM. */
    @Parameter(names = "--name", description = "Name of this VM in the list")
    private String name = "";

    /** The availability zone. */
    @Parameter(names = "--zone", description = "Availability zone of this VM")
    private String zone = "";

    /** The rack. */
    @Parameter(names = "--rack", description = "Rack of this VM")
    private String rack = "rack-1";

    /** The number of processors. */
    @Parameter(names = "--processors", description = "Processors of a worker")
    private long processors = 64;

    /** The memory. */
    @Parameter(names = "--memory-megabytes", description = "Memory of a worker, in megabytes")
    private long memoryMegabytes = 250_000;

    /** The number of accelerators. */
    @Parameter(names = "--accelerators", description = "Accelerators of a worker")
    private int accelerators;

    /** How long an endpoint takes. */
    @Parameter(
            names = "--service-millis",
            description = "How long an endpoint takes for a request, in milliseconds")
    private long serviceMillis = 5;

    /** How long a change of the list of VMs stays unseen. */
    @Parameter(
            names = "--lag-millis",
            description = "How long a change of the list of VMs stays unseen, in milliseconds")
    private long lagMillis = 1_000;

    /** Creates the flags with their defaults. */
    StandInOptions() {}

    /**
     * Returns the address to listen on.
     *
     * @return the address
     */
    InetSocketAddress address() {
        return Settings.required("--address", address, AddressConverter.ALLOWED);
    }

    /**
     * Returns the address of the list of VMs.
     *
     * @return the address, or null to be added to no list
     */
    @Nullable InetSocketAddress vmList() {
        return vmList;
    }

    /**
     * Returns the name of the VM.
     *
     * @return the name
     */
    String name() {
        return Settings.required("--name", name.isBlank() ? null : name, "a name in the list");
    }

    /**
     * Returns what a worker has.
     *
     * @return the amounts
     */
    Resources capacity() {
        Settings.inRange("--processors", processors, 1, MAXIMUM);
        Settings.inRange("--memory-megabytes", memoryMegabytes, 1, MAXIMUM);
        Settings.inRange("--accelerators", accelerators, 0, MAXIMUM);
        return new Resources(processors * MILLI, memoryMegabytes, accelerators);
    }

    /**
     * Returns how long an endpoint takes for a request.
     *
     * @return the time, in milliseconds
     */
    long serviceMillis() {
        Settings.inRange("--service-millis", serviceMillis, 0, MAXIMUM);
        return serviceMillis;
    }

    /**
     * Returns how long a change of the list of VMs stays unseen.
     *
     * @return the time, in milliseconds
     */
    long lagMillis() {
        Settings.inRange("--lag-millis", lagMillis, 0, MAXIMUM);
        return lagMillis;
    }

    /**
     * Makes this VM's line of the list.
     *
     * @param role what the VM does
     * @param boundAddress the address on which it is reached
     * @return the line
     */
    VmRecord record(VmRole role, String boundAddress) {
        String zoneName =
                Settings.required("--zone", zone.isBlank() ? null : zone, "the name of a zone");
        return new VmRecord(
                name(),
                boundAddress,
                new ZoneName(zoneName),
                new RackName(rack),
                role,
                VmState.LIVE);
    }
}
