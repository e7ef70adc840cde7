package org.damasktiller.daemon.cell;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.damasktiller.authority.cell.BestFitPlacement;
import org.damasktiller.authority.cell.CellOwner;
import org.damasktiller.authority.cell.CellSettings;
import org.damasktiller.authority.cell.CellWorker;
import org.damasktiller.authority.cell.JobChanged;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.layout.CellLayout;
import org.damasktiller.authority.ownership.OwnerIdentity;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.daemon.operator.StatusBody;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;

/**
 * Hosts the owners of the cells of one availability zone, active or standing by. Used on its
 * reactor's thread only.
 */
public final class CellHost {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(CellHost.class.getName());

    /** The division into cells. */
    private final CellLayout layout;

    /** The availability zone. */
    private final ZoneName zone;

    /** The drivers by cell. */
    private final Map<CellId, CellDriver> drivers = new TreeMap<>();

    /**
     * Creates a host that stands by for every cell of its zone.
     *
     * @param layout the division into cells
     * @param zone the availability zone
     * @param self the identity of this process
     * @param settings the times and bounds of owners
     * @param environment what the owners need from their entry VM
     */
    public CellHost(
            CellLayout layout,
            ZoneName zone,
            OwnerIdentity self,
            CellSettings settings,
            OwnerEnvironment environment) {
        this.layout = layout;
        this.zone = zone;
        for (CellId cell : layout.cellsOf(zone)) {
            CellOwner owner = new CellOwner(settings, cell, self, new BestFitPlacement());
            drivers.put(cell, new CellDriver(owner, environment, CellHost::log));
        }
    }

    /** Starts to stand by. */
    public void start() {
        drivers.values().forEach(CellDriver::start);
    }

    /** Stops without giving cells back. */
    public void stop() {
        drivers.values().forEach(CellDriver::stop);
    }

    /**
     * Gives all cells back.
     *
     * @return completed once they are given back
     */
    public Promise<Void> drain() {
        return Promises.all(drivers.values().stream().map(CellDriver::drain));
    }

    /**
     * Passes on a reading of the platform's list.
     *
     * @param fleet the reading
     */
    public void acceptFleet(FleetView fleet) {
        Map<CellId, List<CellWorker>> workers = new TreeMap<>();
        for (VmRecord vm : fleet.all()) {
            if (vm.role() == VmRole.WORKER && vm.zone().equals(zone)) {
                workers.computeIfAbsent(layout.cellOf(zone, vm.rack()), cell -> new ArrayList<>())
                        .add(new CellWorker(new WorkerId(vm.name()), vm.state()));
            }
        }
        drivers.forEach(
                (cell, driver) -> driver.listWorkers(workers.getOrDefault(cell, List.of())));
    }

    /**
     * Tells whether this VM owns a cell at the moment.
     *
     * @param cell the cell
     * @return whether it does
     */
    public boolean owns(CellId cell) {
        CellDriver driver = drivers.get(cell);
        return driver != null && driver.active();
    }

    /**
     * Tells the entry VM last seen to own a cell.
     *
     * @param cell the cell
     * @return the name of the VM, or an empty text if none was seen
     */
    public String holder(CellId cell) {
        CellDriver driver = drivers.get(cell);
        if (driver == null) {
            return "";
        }
        String identity = driver.holder();
        int end = identity.indexOf(' ');
        return end < 0 ? identity : identity.substring(0, end);
    }

    /**
     * Submits a job to a cell that this VM owns.
     *
     * @param cell the cell
     * @param submission the job
     * @return the reply
     */
    public Promise<JobReply> submit(CellId cell, JobSubmission submission) {
        return route(cell, driver -> driver.submit(submission));
    }

    /**
     * Asks for the state of a job of a cell that this VM owns.
     *
     * @param cell the cell
     * @param job the job
     * @return the reply
     */
    public Promise<JobReply> query(CellId cell, JobId job) {
        return route(cell, driver -> driver.query(job));
    }

    /**
     * Cancels a job of a cell that this VM owns.
     *
     * @param cell the cell
     * @param job the job
     * @return the reply
     */
    public Promise<JobReply> cancel(CellId cell, JobId job) {
        return route(cell, driver -> driver.cancel(job));
    }

    /**
     * Tells the cells of the zone.
     *
     * @return the cells
     */
    public List<StatusBody.CellBody> status() {
        return drivers.entrySet().stream()
                .map(
                        entry ->
                                new StatusBody.CellBody(
                                        entry.getKey().value(),
                                        entry.getValue().holder(),
                                        entry.getValue().active()))
                .toList();
    }

    /**
     * Passes a call to the driver of a cell.
     *
     * @param cell the cell
     * @param call the call
     * @return the reply
     */
    private Promise<JobReply> route(CellId cell, Function<CellDriver, Promise<JobReply>> call) {
        CellDriver driver = drivers.get(cell);
        if (driver == null) {
            return Promise.ofException(
                    new DamasktillerException(
                            ErrorCode.NOT_OWNER,
                            Step.ROUTE,
                            "",
                            Outcome.NOT_RUN,
                            "cell " + cell + " is of another availability zone"));
        }
        return call.apply(driver);
    }

    /**
     * Logs a committed change of a job.
     *
     * @param change the change
     */
    private static void log(JobChanged change) {
        LOGGER.log(
                Logger.Level.DEBUG,
                "job {0} is {1}, attempt {2} on {3}",
                change.status().job(),
                change.status().state(),
                change.status().attempt(),
                change.status().worker());
    }
}
