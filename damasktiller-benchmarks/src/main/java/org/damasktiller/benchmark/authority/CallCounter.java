package org.damasktiller.benchmark.authority;

import org.damasktiller.authority.call.SwapCall;
import org.damasktiller.authority.cell.CellAction;
import org.damasktiller.authority.cell.StoreRequest;
import org.damasktiller.authority.cell.WorkerRequest;
import org.damasktiller.standin.cell.CallFault;
import org.damasktiller.standin.cell.FaultInjector;
import org.damasktiller.worker.FenceCommand;

/** Counts the calls of the owners and injects no fault. */
final class CallCounter implements FaultInjector {

    /** The writes of keys, without the calls that concern leases. */
    private long writes;

    /** The bytes of the written values. */
    private long bytes;

    /** The bytes of the largest value of a head. */
    private long largestHeadBytes;

    /** The fences sent. */
    private long fences;

    /** Creates a counter at zero. */
    CallCounter() {}

    @Override
    public CallFault faultAt(int owner, CellAction call) {
        if (call instanceof StoreRequest request && request.call() instanceof SwapCall swap) {
            byte[] value = swap.request().value();
            long size = value == null ? 0 : value.length;
            writes++;
            bytes += size;
            if (swap.request().key().endsWith("/head")) {
                largestHeadBytes = Math.max(largestHeadBytes, size);
            }
        }
        if (call instanceof WorkerRequest request && request.command() instanceof FenceCommand) {
            fences++;
        }
        return CallFault.NONE;
    }

    /**
     * Returns the writes of keys.
     *
     * @return the number of writes
     */
    long writes() {
        return writes;
    }

    /**
     * Returns the bytes of the written values.
     *
     * @return the number of bytes
     */
    long bytes() {
        return bytes;
    }

    /**
     * Returns the size of the largest head.
     *
     * @return the number of bytes
     */
    long largestHeadBytes() {
        return largestHeadBytes;
    }

    /**
     * Returns the fences sent.
     *
     * @return the number of fences
     */
    long fences() {
        return fences;
    }
}
