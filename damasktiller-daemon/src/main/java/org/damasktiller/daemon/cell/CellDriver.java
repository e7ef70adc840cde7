package org.damasktiller.daemon.cell;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.function.Consumer;
import org.damasktiller.authority.call.StoreCalls;
import org.damasktiller.authority.cell.Cancel;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.CellEvent;
import org.damasktiller.authority.cell.CellOwner;
import org.damasktiller.authority.cell.CellWorker;
import org.damasktiller.authority.cell.Drain;
import org.damasktiller.authority.cell.JobChanged;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.authority.cell.Query;
import org.damasktiller.authority.cell.Released;
import org.damasktiller.authority.cell.Reply;
import org.damasktiller.authority.cell.StoreAnswered;
import org.damasktiller.authority.cell.StoreFailed;
import org.damasktiller.authority.cell.StoreRequest;
import org.damasktiller.authority.cell.Submit;
import org.damasktiller.authority.cell.Tick;
import org.damasktiller.authority.cell.UsageObserved;
import org.damasktiller.authority.cell.WorkerAnswered;
import org.damasktiller.authority.cell.WorkerFailed;
import org.damasktiller.authority.cell.WorkerRequest;
import org.damasktiller.authority.cell.WorkersListed;
import org.damasktiller.daemon.drive.OwnerEnvironment;
import org.damasktiller.daemon.drive.OwnerLoop;
import org.damasktiller.daemon.drive.PendingReplies;
import org.damasktiller.identity.JobId;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.worker.WorkerClient;

/**
 * Drives the owner of one cell. Every public method is called on the reactor's thread; the owner
 * itself runs on the pool, and whether it holds the cell is passed on in a volatile field.
 */
public final class CellDriver {

    /** Gives the owner its events. */
    private final OwnerLoop<CellEvent, CellAction> loop;

    /** The key-value service. */
    private final KeyValueStore store;

    /** The workers. */
    private final WorkerClient workers;

    /** Told of each committed change of a job. */
    private final Consumer<JobChanged> jobListener;

    /** The callers that wait for a reply. */
    private final PendingReplies<JobReply> replies = new PendingReplies<>();

    /** Completed once the cell is given back. */
    private final SettablePromise<Void> released = new SettablePromise<>();

    /** Whether the owner held the cell after its latest event. */
    private volatile boolean active;

    /** Whether the owner still acts. */
    private boolean running = true;

    /**
     * Creates a driver.
     *
     * @param owner the owner of the cell, not to be used by anyone else
     * @param environment what the driver needs from the entry VM
     * @param jobListener told of each committed change of a job, on the reactor's thread
     */
    public CellDriver(
            CellOwner owner, OwnerEnvironment environment, Consumer<JobChanged> jobListener) {
        this.store = environment.store();
        this.workers = environment.workers();
        this.jobListener = jobListener;
        this.loop =
                new OwnerLoop<>(
                        environment,
                        (event, nowMillis) -> handle(owner, event, nowMillis),
                        Tick::new,
                        this::carryOut);
    }

    /** Starts to give the owner its ticks. */
    public void start() {
        loop.start();
    }

    /**
     * Submits a job.
     *
     * @param submission the job
     * @return the reply, once the acceptance is committed or refused
     */
    public Promise<JobReply> submit(JobSubmission submission) {
        return replies.ask(number -> loop.post(new Submit(number, submission)));
    }

    /**
     * Asks for the state of a job.
     *
     * @param job the job
     * @return the reply
     */
    public Promise<JobReply> query(JobId job) {
        return replies.ask(number -> loop.post(new Query(number, job)));
    }

    /**
     * Cancels a job.
     *
     * @param job the job
     * @return the reply, once the cancellation is committed or refused
     */
    public Promise<JobReply> cancel(JobId job) {
        return replies.ask(number -> loop.post(new Cancel(number, job)));
    }

    /**
     * Passes on a reading of the platform's list.
     *
     * @param cellWorkers the workers of the cell
     */
    public void listWorkers(List<CellWorker> cellWorkers) {
        loop.post(new WorkersListed(cellWorkers));
    }

    /**
     * Gives the cell back.
     *
     * @return completed once it is given back
     */
    public Promise<Void> drain() {
        loop.post(new Drain());
        return released;
    }

    /** Stops without giving the cell back; events that come later are dropped. */
    public void stop() {
        running = false;
        loop.stop();
    }

    /**
     * Tells whether the owner holds the cell.
     *
     * @return whether it accepts work
     */
    public boolean active() {
        return active;
    }

    /**
     * Passes an event to the owner and notes what it tells; runs on the pool.
     *
     * @param owner the owner
     * @param event the event
     * @param nowMillis the time, in milliseconds
     * @return the owner's actions
     */
    private List<CellAction> handle(CellOwner owner, CellEvent event, long nowMillis) {
        List<CellAction> actions = owner.handle(event, nowMillis);
        active = owner.active();
        return actions;
    }

    /**
     * Carries out one action. Replies are passed on also after the cell was given back.
     *
     * @param action the action
     */
    private void carryOut(CellAction action) {
        if (action instanceof Reply reply) {
            replies.answer(reply.replyId(), reply.reply());
        } else if (running) {
            carryOutAsOwner(action);
        }
    }

    /**
     * Carries out one action that an owner may take only until it has given its cell back.
     *
     * @param action the action
     */
    private void carryOutAsOwner(CellAction action) {
        if (action instanceof StoreRequest request) {
            callStore(request);
        } else if (action instanceof WorkerRequest request) {
            callWorker(request);
        } else if (action instanceof JobChanged change) {
            jobListener.accept(change);
        } else if (action instanceof Released) {
            running = false;
            released.trySet(null);
        } else if (!(action instanceof UsageObserved)) {
            throw new IllegalStateException("unknown action " + action);
        }
    }

    /**
     * Calls the key-value service.
     *
     * @param request the call
     */
    private void callStore(StoreRequest request) {
        StoreCalls.send(store, request.call())
                .whenResult(answer -> loop.post(new StoreAnswered(request.callId(), answer)))
                .whenException(exception -> loop.post(new StoreFailed(request.callId())));
    }

    /**
     * Sends a command to a worker.
     *
     * @param request the command
     */
    private void callWorker(WorkerRequest request) {
        workers.send(request.worker(), request.command())
                .whenResult(answer -> loop.post(new WorkerAnswered(request.callId(), answer)))
                .whenException(exception -> loop.post(new WorkerFailed(request.callId())));
    }
}
