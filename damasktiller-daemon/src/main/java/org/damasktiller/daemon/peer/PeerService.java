package org.damasktiller.daemon.peer;

import io.activej.promise.Promise;
import org.damasktiller.identity.VmId;

/** Serves the calls of other entry VMs. */
public interface PeerService {

    /**
     * Serves one call.
     *
     * @param from the entry VM that calls
     * @param body the encoded call
     * @return the encoded answer; nothing is answered if it fails
     */
    Promise<byte[]> serve(VmId from, byte[] body);
}
