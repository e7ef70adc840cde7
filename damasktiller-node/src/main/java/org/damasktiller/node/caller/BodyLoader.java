package org.damasktiller.node.caller;

import io.activej.promise.Promise;

/** Loads the body of a request. */
@FunctionalInterface
interface BodyLoader {

    /**
     * Loads the body.
     *
     * @param maxBytes the maximum size, in bytes
     * @return the body, or the exception with which it was not read to its end
     */
    Promise<byte[]> load(int maxBytes);
}
