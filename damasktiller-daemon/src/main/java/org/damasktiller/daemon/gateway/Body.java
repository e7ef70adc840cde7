package org.damasktiller.daemon.gateway;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import org.jspecify.annotations.Nullable;

/** Holds a body: whole in memory, or its beginning with a stream of the rest. */
final class Body {

    /** The bytes in memory. */
    private final byte[] head;

    /** The rest, or null if there is none. */
    private final @Nullable ChannelSupplier<ByteBuf> rest;

    /**
     * Creates a body.
     *
     * @param head the bytes in memory, which must not be changed afterwards
     * @param rest the rest, or null if there is none
     */
    Body(byte[] head, @Nullable ChannelSupplier<ByteBuf> rest) {
        this.head = head;
        this.rest = rest;
    }

    /**
     * Tells whether the body is whole in memory and so can be sent again.
     *
     * @return whether it is
     */
    boolean whole() {
        return rest == null;
    }

    /**
     * Returns the bytes in memory.
     *
     * @return the bytes, not to be changed
     */
    byte[] head() {
        return head;
    }

    /**
     * Returns the bytes in memory followed by the rest. To be called once.
     *
     * @return the stream
     */
    ChannelSupplier<ByteBuf> stream() {
        ChannelSupplier<ByteBuf> first = ChannelSuppliers.ofValue(ByteBuf.wrapForReading(head));
        return rest == null ? first : ChannelSuppliers.concat(first, rest);
    }

    /**
     * Replaces the rest by a stream that passes it on.
     *
     * @param changed the stream
     * @return the changed body
     */
    Body withRest(ChannelSupplier<ByteBuf> changed) {
        return new Body(head, changed);
    }

    /**
     * Returns the rest.
     *
     * @return the stream, or null if the body is whole
     */
    @Nullable ChannelSupplier<ByteBuf> rest() {
        return rest;
    }
}
