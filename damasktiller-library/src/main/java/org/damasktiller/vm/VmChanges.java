package org.damasktiller.vm;

import java.util.List;

/**
 * Holds what changed in the platform's list of VMs since an earlier reading.
 *
 * @param revision the revision of the list after the changes, to be named by the next reading
 * @param whole whether the records are the whole list, since the earlier reading is not known
 * @param records the VMs that were added or changed
 */
public record VmChanges(long revision, boolean whole, List<VmRecord> records) {

    /** Copies the list of records. */
    public VmChanges {
        records = List.copyOf(records);
    }
}
