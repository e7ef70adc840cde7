package org.damasktiller.daemon.cell;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
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
import org.damasktiller.identity.VmId;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.membership.Assignment;
import org.damasktiller.table.OperatorTable;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;

/**
 * Hosts the owners of those cells of one availability zone that the membership assigns to this VM.
 * Used on its reactor's thread only.
 */
public final class CellHost {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(CellHost.class.getName());

    /** The division into cells. */
    private final CellLayout layout;

    /** The availability zone. */
    private final ZoneName zone;

    /** Makes the driver of a cell. */
    private final Function<CellId, CellDriver> factory;

    /** The drivers of the cells that this VM owns or is to own, by cell. */
    private final Map<CellId, CellDriver> drivers = new TreeMap<>();

    /** This process's entry VM. */
    private final VmId self;

    /** The members of the zone that are to own its cells. */
    private Assignment<CellId> assignment;

    /** The workers of each cell, as last listed. */
    private Map<CellId, List<CellWorker>> workers = Map.of();

    /** Whether the cells are being given back for good. */
    private boolean draining;

    /**
     * Creates a host that is to own every cell of its zone until it knows other members.
     *
     * @param layout the division into cells
     * @param zone the availability zone
     * @param self the identity of this process
     * @param table gives the table in force
     * @param settings the times and bounds of owners
     * @param environment what the owners need from their entry VM
     */
    public CellHost(
            CellLayout layout,
            ZoneName zone,
            OwnerIdentity self,
            Supplier<OperatorTable> table,
            CellSettings settings,
            OwnerEnvironment environment) {
        this.layout = layout;
        this.zone = zone;
        this.self = self.vm();
        this.assignment = Assignment.of(layout.cellsOf(zone), List.of(self.vm()));
        this.factory =
                cell ->
                        new CellDriver(
                                new CellOwner(
                                        settings,
                                        cell,
                                        self,
                                        new BestFitPlacement(),
                                        new TableStartPolicy(table, layout, cell)),
                                environment,
                                CellHost::log);
    }

    /** Starts to acquire the cells that are assigned to this VM. */
    public void start() {
        follow();
    }

    /**
     * Takes in the members of the zone: cells that are assigned to this VM are acquired, and those
     * that are not are given back.
     *
     * @param members the members that take new work
     */
    public void onMembers(List<VmId> members) {
        assignment = Assignment.of(layout.cellsOf(zone), members);
        follow();
    }

    /** Stops without giving cells back. */
    public void stop() {
        drivers.values().forEach(CellDriver::stop);
    }

    /**
     * Gives all cells back and acquires none any more.
     *
     * @return completed once they are given back
     */
    public Promise<Void> drain() {
        draining = true;
        return Promises.all(List.copyOf(drivers.values()).stream().map(CellDriver::drain));
    }

    /**
     * Passes on a reading of the platform's list.
     *
     * @param fleet the reading
     */
    public void acceptFleet(FleetView fleet) {
        Map<CellId, List<CellWorker>> listed = new TreeMap<>();
        for (VmRecord vm : fleet.all()) {
            if (vm.role() == VmRole.WORKER && vm.zone().equals(zone)) {
                listed.computeIfAbsent(layout.cellOf(zone, vm.rack()), cell -> new ArrayList<>())
                        .add(new CellWorker(new WorkerId(vm.name()), vm.state()));
            }
        }
        workers = listed;
        drivers.forEach(this::listWorkers);
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
     * Tells the entry VM that is to own a cell of this zone.
     *
     * @param cell the cell
     * @return the name of the VM, or an empty text for a cell of another zone
     */
    public String expectedOwner(CellId cell) {
        return assignment.owner(cell).map(VmId::value).orElse("");
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
        return layout.cellsOf(zone).stream()
                .map(cell -> new StatusBody.CellBody(cell.value(), expectedOwner(cell), owns(cell)))
                .toList();
    }

    /** Acquires the cells that are assigned to this VM and gives the others back. */
    private void follow() {
        if (draining) {
            return;
        }
        for (CellId cell : layout.cellsOf(zone)) {
            boolean assigned = assignment.owner(cell).filter(self::equals).isPresent();
            CellDriver driver = drivers.get(cell);
            if (assigned && driver == null) {
                acquire(cell);
            } else if (!assigned && driver != null) {
                giveBack(cell, driver);
            }
        }
    }

    /**
     * Starts to acquire a cell.
     *
     * @param cell the cell
     */
    private void acquire(CellId cell) {
        CellDriver driver = factory.apply(cell);
        drivers.put(cell, driver);
        driver.start();
        listWorkers(cell, driver);
    }

    /**
     * Gives a cell back, and acquires it again if it was assigned to this VM meanwhile.
     *
     * @param cell the cell
     * @param driver its driver
     */
    private void giveBack(CellId cell, CellDriver driver) {
        driver.drain()
                .whenResult(
                        () -> {
                            driver.stop();
                            if (drivers.remove(cell, driver)) {
                                follow();
                            }
                        });
    }

    /**
     * Passes the workers of a cell to its driver.
     *
     * @param cell the cell
     * @param driver its driver
     */
    private void listWorkers(CellId cell, CellDriver driver) {
        driver.listWorkers(workers.getOrDefault(cell, List.of()));
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
                            "cell " + cell + " is not owned here"));
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
