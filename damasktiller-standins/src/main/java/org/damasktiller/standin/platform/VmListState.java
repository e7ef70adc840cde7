package org.damasktiller.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.vm.VmRecord;

/** Keeps the stand-in list of VMs, whose readers see each change only after a lag. */
public final class VmListState {

    /** How long a change stays unseen, in milliseconds. */
    private final long lagMillis;

    /** The changes not yet seen, oldest first. */
    private final Deque<Change> pending = new ArrayDeque<>();

    /** The list that readers see, by name. */
    private final Map<String, VmRecord> visible = new TreeMap<>();

    /**
     * Creates an empty list.
     *
     * @param lagMillis how long a change stays unseen, in milliseconds
     */
    public VmListState(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    /**
     * Adds or replaces a VM.
     *
     * @param vm the VM
     * @param nowMillis the time, in milliseconds
     */
    public void put(VmRecord vm, long nowMillis) {
        pending.addLast(new Change(vm, nowMillis + lagMillis));
    }

    /**
     * Reads the list as it is seen now.
     *
     * @param nowMillis the time, in milliseconds
     * @return the VMs, by name
     */
    public List<VmRecord> list(long nowMillis) {
        while (!pending.isEmpty() && pending.getFirst().visibleAtMillis() <= nowMillis) {
            VmRecord vm = pending.removeFirst().vm();
            visible.put(vm.name(), vm);
        }
        return List.copyOf(visible.values());
    }

    /**
     * A change that is not yet seen.
     *
     * @param vm the VM after the change
     * @param visibleAtMillis when it is seen, in milliseconds
     */
    private record Change(VmRecord vm, long visibleAtMillis) {}
}
