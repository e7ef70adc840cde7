package org.damasktiller.vm;

import io.activej.promise.Promise;
import java.util.List;

/** Reads the platform's lagging list of VMs. */
public interface VmDirectory {

    /**
     * Reads the whole list.
     *
     * @return the VMs, in no particular order
     */
    Promise<List<VmRecord>> list();
}
