package org.damasktiller.daemon.gateway;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/** Passes a stream on and tells when it has ended, well or not. */
final class WatchedStream extends AbstractChannelSupplier<ByteBuf> {

    /** The stream. */
    private final ChannelSupplier<ByteBuf> stream;

    /** Completed at the end with whether the stream ended well. */
    private final SettablePromise<Boolean> end = new SettablePromise<>();

    /**
     * Creates a stream.
     *
     * @param stream the stream to pass on
     */
    WatchedStream(ChannelSupplier<ByteBuf> stream) {
        super(stream);
        this.stream = stream;
    }

    /**
     * Returns the end of the stream.
     *
     * @return completed with whether the stream ended well
     */
    Promise<Boolean> end() {
        return end;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        return stream.get()
                .whenResult(
                        part -> {
                            if (part == null) {
                                end.trySet(true);
                            }
                        })
                .whenException(error -> end.trySet(false));
    }

    @Override
    protected void onClosed(Exception error) {
        end.trySet(false);
    }
}
