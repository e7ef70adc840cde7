package org.damasktiller.daemon.cell;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.layout.CellLayout;
import org.damasktiller.daemon.job.JobRouter;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmRecord;
import org.damasktiller.vm.VmRole;
import org.damasktiller.vm.VmState;

/**
 * Passes calls on jobs to the owner of their cell: on this VM, or to the entry VMs of the cell's
 * zone one after the other, its expected owner first. A peer that does not own the cell is followed
 * by the next; any other error goes back to the caller, who may repeat the call with the same key.
 */
public final class ForwardingJobRouter implements JobRouter {

    /** How many entry VMs are asked at most. */
    private static final int MAXIMUM_PEERS = 8;

    /** The cells of this VM. */
    private final CellHost host;

    /** The division into cells. */
    private final CellLayout layout;

    /** Gives the last reading of the platform's list. */
    private final Supplier<FleetView> fleet;

    /** The name of this VM in the list. */
    private final String self;

    /** Passes calls to other entry VMs. */
    private final JobPeers peers;

    /**
     * Creates a router.
     *
     * @param host the cells of this VM
     * @param layout the division into cells
     * @param fleet gives the last reading of the platform's list
     * @param self the name of this VM in the list
     * @param peers passes calls to other entry VMs
     */
    public ForwardingJobRouter(
            CellHost host,
            CellLayout layout,
            Supplier<FleetView> fleet,
            String self,
            JobPeers peers) {
        this.host = host;
        this.layout = layout;
        this.fleet = fleet;
        this.self = self;
        this.peers = peers;
    }

    @Override
    public Promise<JobReply> submit(CellId cell, JobSubmission submission, boolean forwarded) {
        if (forwarded || host.owns(cell)) {
            return host.submit(cell, submission);
        }
        return askPeers(cell, Outcome.NOT_RUN, peer -> peers.submit(peer, submission));
    }

    @Override
    public Promise<JobReply> query(JobId job, boolean forwarded) {
        CellId cell = cellOf(job);
        if (forwarded || host.owns(cell)) {
            return host.query(cell, job);
        }
        return askPeers(cell, Outcome.OUTCOME_UNKNOWN, peer -> peers.query(peer, job));
    }

    @Override
    public Promise<JobReply> cancel(JobId job, boolean forwarded) {
        CellId cell = cellOf(job);
        if (forwarded || host.owns(cell)) {
            return host.cancel(cell, job);
        }
        return askPeers(cell, Outcome.OUTCOME_UNKNOWN, peer -> peers.cancel(peer, job));
    }

    /**
     * Asks the entry VMs that may own a cell.
     *
     * @param cell the cell
     * @param unasked whether the work was run if there is nobody to ask
     * @param call passes the call to one of them
     * @return the reply
     */
    private Promise<JobReply> askPeers(
            CellId cell, Outcome unasked, Function<VmRecord, Promise<JobReply>> call) {
        return ask(candidates(cell), noOwner(unasked), call);
    }

    /**
     * Asks entry VMs one after the other until one owns the cell.
     *
     * @param candidates the entry VMs
     * @param failure the error to report if none is left, which is that of the tries before
     * @param call passes the call to one of them
     * @return the reply
     */
    private static Promise<JobReply> ask(
            List<VmRecord> candidates,
            Exception failure,
            Function<VmRecord, Promise<JobReply>> call) {
        if (candidates.isEmpty()) {
            return Promise.ofException(failure);
        }
        List<VmRecord> others = candidates.subList(1, candidates.size());
        return call.apply(candidates.get(0))
                .then(
                        Promise::of,
                        exception -> {
                            Exception told = honest(failure, exception);
                            return mayAskNext(exception)
                                    ? ask(others, told, call)
                                    : Promise.ofException(told);
                        });
    }

    /**
     * Keeps the outcome of an earlier try that is not known: that a later peer did not run a call
     * says nothing of what an earlier one did.
     *
     * @param earlier the error of the tries before
     * @param later the error of the latest try
     * @return the error to report
     */
    private static Exception honest(Exception earlier, Exception later) {
        if (!(earlier instanceof DamasktillerException before)
                || !(later instanceof DamasktillerException after)
                || before.outcome() == Outcome.NOT_RUN
                || after.outcome() != Outcome.NOT_RUN) {
            return later;
        }
        return new DamasktillerException(
                after.code(),
                after.step(),
                after.peer(),
                before.outcome(),
                after.getMessage() + "; an earlier try may have been carried out",
                after);
    }

    /**
     * Tells whether another VM may be asked after an error. A submission that a former owner may
     * have accepted is safe to pass on: the next owner finds it by its key or accepts it anew, and
     * the former one's write can not take effect any more.
     *
     * @param exception the error
     * @return whether the peer does not own the cell
     */
    private static boolean mayAskNext(Exception exception) {
        return exception instanceof DamasktillerException failure
                && (failure.code() == ErrorCode.NOT_OWNER || failure.code() == ErrorCode.DRAINING);
    }

    /**
     * Lists the entry VMs to ask for a cell, the last known owner first.
     *
     * @param cell the cell
     * @return the entry VMs
     */
    private List<VmRecord> candidates(CellId cell) {
        FleetView view = fleet.get();
        List<VmRecord> candidates = new ArrayList<>();
        Optional<VmRecord> holder = view.find(host.expectedOwner(cell));
        holder.ifPresent(candidates::add);
        for (VmRecord vm : view.present(VmRole.ENTRY, layout.zoneOf(cell))) {
            if (vm.state() == VmState.LIVE && !candidates.contains(vm)) {
                candidates.add(vm);
            }
        }
        candidates.removeIf(vm -> vm.name().equals(self));
        return candidates.subList(0, Math.min(MAXIMUM_PEERS, candidates.size()));
    }

    /**
     * Finds the cell of a job.
     *
     * @param job the job
     * @return the cell
     */
    private CellId cellOf(JobId job) {
        return layout.cellOf(job)
                .orElseThrow(
                        () ->
                                new DamasktillerException(
                                        ErrorCode.UNKNOWN_JOB,
                                        Step.ROUTE,
                                        "",
                                        Outcome.NOT_RUN,
                                        "no cell gives a job the identity " + job));
    }

    /**
     * Makes the error for a cell without a known owner.
     *
     * @param outcome whether the work of the call was run
     * @return the error
     */
    private static DamasktillerException noOwner(Outcome outcome) {
        return new DamasktillerException(
                ErrorCode.NOT_OWNER,
                Step.ROUTE,
                "",
                outcome,
                "no entry VM is known that could own the cell");
    }
}
