package org.damasktiller.daemon.entry;

import io.activej.reactor.Reactor;
import java.lang.System.Logger;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.damasktiller.vm.FleetView;
import org.damasktiller.vm.VmChanges;
import org.damasktiller.vm.VmDirectory;

/**
 * Reads the changes of the platform's list of VMs again and again. While the platform does not
 * answer, the last reading stays in use. Used on its reactor's thread only.
 */
public final class FleetReader {

    /** The log. */
    private static final Logger LOGGER = System.getLogger(FleetReader.class.getName());

    /** The reactor that gives the timers. */
    private final Reactor reactor;

    /** The platform's list. */
    private final VmDirectory directory;

    /** The time between two readings, in milliseconds. */
    private final long intervalMillis;

    /** Those who are told of each reading with changes. */
    private final List<Consumer<FleetView>> listeners = new ArrayList<>();

    /** The last reading. */
    private FleetView view = FleetView.EMPTY;

    /** The revision of the last reading. */
    private long revision = VmDirectory.NO_REVISION;

    /** Whether reading goes on. */
    private boolean running;

    /**
     * Creates a reader.
     *
     * @param reactor the reactor that gives the timers
     * @param directory the platform's list
     * @param intervalMillis the time between two readings, in milliseconds
     */
    public FleetReader(Reactor reactor, VmDirectory directory, long intervalMillis) {
        this.reactor = reactor;
        this.directory = directory;
        this.intervalMillis = intervalMillis;
    }

    /**
     * Adds one who is told of each reading with changes.
     *
     * @param listener the listener
     */
    public void addListener(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    /** Starts to read. */
    public void start() {
        running = true;
        read();
    }

    /** Stops reading. */
    public void stop() {
        running = false;
    }

    /**
     * Returns the last reading.
     *
     * @return the view
     */
    public FleetView view() {
        return view;
    }

    /** Reads once and again after the interval. */
    private void read() {
        if (!running) {
            return;
        }
        directory
                .changesSince(revision)
                .whenResult(this::accept)
                .whenException(
                        exception ->
                                LOGGER.log(
                                        Logger.Level.WARNING,
                                        "list of VMs can not be read; the last one stays in use:"
                                                + " {0}",
                                        exception.getMessage()))
                .whenComplete(() -> reactor.delayBackground(intervalMillis, this::read));
    }

    /**
     * Takes a reading into use. Nobody is told of a reading without changes.
     *
     * @param changes the changes since the reading before
     */
    private void accept(VmChanges changes) {
        revision = changes.revision();
        if (!changes.whole() && changes.records().isEmpty()) {
            return;
        }
        view = view.with(changes);
        listeners.forEach(listener -> listener.accept(view));
    }
}
