package org.damasktiller.vm;

import io.activej.promise.Promise;

/** Reads the platform's lagging list of VMs. */
public interface VmDirectory {

    /** The revision before the first reading. */
    long NO_REVISION = 0;

    /**
     * Reads what changed since an earlier reading.
     *
     * @param revision the revision of the earlier reading, or {@link #NO_REVISION}
     * @return the changes, or the whole list where the platform does not know the revision
     */
    Promise<VmChanges> changesSince(long revision);
}
