package org.damasktiller.lab.soak;

import org.damasktiller.lab.rig.LocalWorker;

/**
 * Crashes a worker immediately, or drains it and crashes it when the fault ends. The worker boots
 * again under its previous identifier.
 */
final class WorkerFault implements Fault {

    /** The affected worker. */
    private final LocalWorker worker;

    /**
     * The time until the worker leaves that it announces when draining, in milliseconds; 0 for an
     * immediate crash.
     */
    private final long drainMillis;

    /**
     * Creates a fault.
     *
     * @param worker the affected worker
     * @param drainMillis the time until the worker leaves that it announces when draining, in
     *     milliseconds; 0 for an immediate crash
     */
    WorkerFault(LocalWorker worker, long drainMillis) {
        this.worker = worker;
        this.drainMillis = drainMillis;
    }

    @Override
    public void begin() {
        if (drainMillis > 0) {
            worker.register(true, drainMillis);
        } else {
            worker.crash();
        }
    }

    @Override
    public void end() {
        if (drainMillis > 0) {
            worker.restart();
        } else {
            worker.bootIfCrashed();
        }
    }

    @Override
    public String describe() {
        return worker.simulatedWorker().id()
                + (drainMillis > 0 ? " drains and restarts" : " crashes");
    }
}
