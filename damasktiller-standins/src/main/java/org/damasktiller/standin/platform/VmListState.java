package org.damasktiller.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damasktiller.vm.VmChanges;
import org.damasktiller.vm.VmDirectory;
import org.damasktiller.vm.VmRecord;

/** Keeps the stand-in list of VMs, whose readers see each change only after a lag. */
public final class VmListState {

    /** How long a change stays unseen, in milliseconds. */
    private final long lagMillis;

    /** The changes not yet seen, oldest first. */
    private final Deque<Change> pending = new ArrayDeque<>();

    /** The list that readers see, by name. */
    private final Map<String, Line> visible = new TreeMap<>();

    /** The revision of the list that readers see. */
    private long lastRevision;

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
     * Reads what changed since an earlier reading, as it is seen now.
     *
     * @param revision the revision of the earlier reading, or zero
     * @param nowMillis the time, in milliseconds
     * @return the changes; the whole list if the revision is zero or was never given
     */
    public VmChanges changesSince(long revision, long nowMillis) {
        show(nowMillis);
        boolean whole = revision == VmDirectory.NO_REVISION || revision > lastRevision;
        long after = whole ? VmDirectory.NO_REVISION : revision;
        List<VmRecord> records =
                visible.values().stream()
                        .filter(line -> line.revision() > after)
                        .map(Line::vm)
                        .toList();
        return new VmChanges(lastRevision, whole, records);
    }

    /**
     * Shows the changes whose lag has passed.
     *
     * @param nowMillis the time, in milliseconds
     */
    private void show(long nowMillis) {
        while (!pending.isEmpty() && pending.getFirst().visibleAtMillis() <= nowMillis) {
            VmRecord vm = pending.removeFirst().vm();
            lastRevision++;
            visible.put(vm.name(), new Line(vm, lastRevision));
        }
    }

    /**
     * A line that is seen.
     *
     * @param vm the VM
     * @param revision the revision of the list that brought it
     */
    private record Line(VmRecord vm, long revision) {}

    /**
     * A change that is not yet seen.
     *
     * @param vm the VM after the change
     * @param visibleAtMillis when it is seen, in milliseconds
     */
    private record Change(VmRecord vm, long visibleAtMillis) {}
}
