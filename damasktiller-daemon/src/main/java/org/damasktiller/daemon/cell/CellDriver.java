package org.damasktiller.daemon.cell;

import com.google.common.util.concurrent.MoreExecutors;
import io.activej.common.time.CurrentTimeProvider;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.lang.System.Logger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongFunction;
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
import org.damasktiller.authority.cell.WorkerAnswered;
import org.damasktiller.authority.cell.WorkerFailed;
import org.damasktiller.authority.cell.WorkerRequest;
import org.damasktiller.authority.cell.WorkersListed;
import org.damasktiller.identity.JobId;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.worker.WorkerClient;

/**
 * Drives the owner of one cell. Events go to the owner one at a time on a pool of threads shared by
 * all cells; its actions are carried out on the reactor, whose thread calls every public method.
 * The owner is touched by the pool only, what it tells is passed on in volatile fields, and the
 * rest of the state is touched by the reactor only, so no lock is held anywhere.
 */
public final class CellDriver {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(CellDriver.class.getName());

    /** The time between two ticks of the owner, in milliseconds. */
    private static final long TICK_MILLIS = 20;

    /** The owner of the cell. */
    private final CellOwner owner;

    /** The reactor that does the I/O. */
    private final Reactor reactor;

    /** Runs the owner's events one after the other. */
    private final Executor events;

    /** The clock read at the moment an event is handled. */
    private final CurrentTimeProvider clock;

    /** The key-value service. */
    private final KeyValueStore store;

    /** The workers. */
    private final WorkerClient workers;

    /** Told of each committed change of a job. */
    private final Consumer<JobChanged> jobListener;

    /** The callers that wait for a reply, by number. */
    private final Map<Long, SettablePromise<JobReply>> waitingCallers = new HashMap<>();

    /** Completed once the cell is given back. */
    private final SettablePromise<Void> released = new SettablePromise<>();

    /** The number of the latest reply asked for. */
    private long lastReplyId;

    /** Whether the owner held the cell after its latest event. */
    private volatile boolean active;

    /** The process last seen to own the cell. */
    private volatile String holder = "";

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
            CellOwner owner, CellEnvironment environment, Consumer<JobChanged> jobListener) {
        this.owner = owner;
        this.reactor = environment.reactor();
        this.events = MoreExecutors.newSequentialExecutor(environment.decisionPool());
        this.clock = environment.clock();
        this.store = environment.store();
        this.workers = environment.workers();
        this.jobListener = jobListener;
    }

    /** Starts to give the owner its ticks. */
    public void start() {
        if (!running) {
            return;
        }
        post(new Tick());
        reactor.delayBackground(TICK_MILLIS, this::start);
    }

    /**
     * Submits a job.
     *
     * @param submission the job
     * @return the reply, once the acceptance is committed or refused
     */
    public Promise<JobReply> submit(JobSubmission submission) {
        return ask(replyId -> new Submit(replyId, submission));
    }

    /**
     * Asks for the state of a job.
     *
     * @param job the job
     * @return the reply
     */
    public Promise<JobReply> query(JobId job) {
        return ask(replyId -> new Query(replyId, job));
    }

    /**
     * Cancels a job.
     *
     * @param job the job
     * @return the reply, once the cancellation is committed or refused
     */
    public Promise<JobReply> cancel(JobId job) {
        return ask(replyId -> new Cancel(replyId, job));
    }

    /**
     * Passes on a reading of the platform's list.
     *
     * @param cellWorkers the workers of the cell
     */
    public void listWorkers(List<CellWorker> cellWorkers) {
        post(new WorkersListed(cellWorkers));
    }

    /**
     * Gives the cell back.
     *
     * @return completed once it is given back
     */
    public Promise<Void> drain() {
        post(new Drain());
        return released;
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
     * Tells who was last seen to own the cell.
     *
     * @return the entry VM and its process, or an empty text
     */
    public String holder() {
        return holder;
    }

    /** Stops without giving the cell back. */
    public void stop() {
        running = false;
    }

    /**
     * Passes an event that needs a reply to the owner.
     *
     * @param event makes the event from the number of the reply
     * @return the reply
     */
    private Promise<JobReply> ask(LongFunction<CellEvent> event) {
        lastReplyId++;
        SettablePromise<JobReply> reply = new SettablePromise<>();
        waitingCallers.put(lastReplyId, reply);
        post(event.apply(lastReplyId));
        return reply;
    }

    /**
     * Passes an event to the owner and carries out its actions.
     *
     * @param event the event
     */
    private void post(CellEvent event) {
        events.execute(
                () -> {
                    List<CellAction> actions = owner.handle(event, clock.currentTimeMillis());
                    active = owner.active();
                    holder = owner.holder();
                    if (!actions.isEmpty()) {
                        reactor.execute(() -> actions.forEach(this::carryOut));
                    }
                });
    }

    /**
     * Carries out one action.
     *
     * @param action the action
     */
    private void carryOut(CellAction action) {
        if (action instanceof Reply reply) {
            answer(reply);
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
        } else {
            LOGGER.log(Logger.Level.DEBUG, "no one listens to {0}", action);
        }
    }

    /**
     * Calls the key-value service.
     *
     * @param request the call
     */
    private void callStore(StoreRequest request) {
        StoreCalls.send(store, request.call())
                .whenResult(answer -> post(new StoreAnswered(request.callId(), answer)))
                .whenException(exception -> post(new StoreFailed(request.callId())));
    }

    /**
     * Sends a command to a worker.
     *
     * @param request the command
     */
    private void callWorker(WorkerRequest request) {
        workers.send(request.worker(), request.command())
                .whenResult(answer -> post(new WorkerAnswered(request.callId(), answer)))
                .whenException(exception -> post(new WorkerFailed(request.callId())));
    }

    /**
     * Passes a reply to the caller that waits for it.
     *
     * @param reply the reply
     */
    private void answer(Reply reply) {
        SettablePromise<JobReply> caller = waitingCallers.remove(reply.replyId());
        if (caller != null) {
            caller.set(reply.reply());
        }
    }
}
