package org.damasktiller.standin.network;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.identity.VmId;
import org.damasktiller.standin.store.StoreState;
import org.damasktiller.standin.time.VirtualTime;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;

/** Serves a key-value service over a virtual network, each client by a connection of its own. */
public final class VirtualStore {

    /** The address of the service in the network. */
    public static final VmId ADDRESS = new VmId("10.255.0.1:2379");

    /** How long a client waits for an answer, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 2_000;

    /** The bytes of a request or answer besides its value. */
    private static final int OVERHEAD_BYTES = 120;

    /** The clock. */
    private final VirtualTime time;

    /** The network. */
    private final VirtualNetwork network;

    /** The keys. */
    private final StoreState state = new StoreState();

    /** The watches that wait. */
    private final List<Runnable> watches = new ArrayList<>();

    /** The number of calls, a waiting watch as one. */
    private long calls;

    /**
     * Creates an empty service.
     *
     * @param time the clock
     * @param network the network, in which the service has been placed
     */
    public VirtualStore(VirtualTime time, VirtualNetwork network) {
        this.time = time;
        this.network = network;
    }

    /**
     * Returns the number of calls so far.
     *
     * @return the calls, a waiting watch as one
     */
    public long calls() {
        return calls;
    }

    /**
     * Makes the client of one member.
     *
     * @param member the member
     * @return the client
     */
    public KeyValueStore client(VmId member) {
        return new Client(member);
    }

    /** Reaches the service from one member. */
    private final class Client implements KeyValueStore {

        /** The member. */
        private final VmId member;

        /**
         * Creates a client.
         *
         * @param member the member
         */
        private Client(VmId member) {
            this.member = member;
        }

        @Override
        public Promise<Optional<StoredValue>> get(String key) {
            return call(
                    0,
                    () -> state.get(key, time.nowMillis()),
                    found -> found.map(value -> value.value().length).orElse(0));
        }

        @Override
        public Promise<List<StoredValue>> list(String prefix) {
            return call(0, () -> state.list(prefix, time.nowMillis()), Client::size);
        }

        @Override
        public Promise<SwapResult> compareAndSwap(SwapRequest request) {
            byte[] value = request.value();
            return call(
                    value == null ? 0 : value.length,
                    () -> {
                        SwapResult result = state.compareAndSwap(request, time.nowMillis());
                        List.copyOf(watches).forEach(Runnable::run);
                        return result;
                    },
                    result -> 0);
        }

        @Override
        public Promise<Long> grantLease(long durationMillis) {
            return call(0, () -> state.grantLease(durationMillis, time.nowMillis()), id -> 0);
        }

        @Override
        public Promise<Boolean> renewLease(long leaseId) {
            return call(0, () -> state.renewLease(leaseId, time.nowMillis()), stood -> 0);
        }

        @Override
        public Promise<Void> revokeLease(long leaseId) {
            return call(
                            0,
                            () -> {
                                state.revokeLease(leaseId, time.nowMillis());
                                return true;
                            },
                            done -> 0)
                    .toVoid();
        }

        @Override
        public Promise<List<StoredValue>> watch(
                String prefix, long afterRevision, long timeoutMillis) {
            calls++;
            SettablePromise<List<StoredValue>> promise = new SettablePromise<>();
            Runnable[] self = new Runnable[1];
            Runnable check =
                    () -> {
                        List<StoredValue> changed =
                                state.changedSince(prefix, afterRevision, time.nowMillis());
                        if (!changed.isEmpty()) {
                            watches.remove(self[0]);
                            reply(changed, promise, size(changed));
                        }
                    };
            self[0] = check;
            network.sendStream(
                    member,
                    ADDRESS,
                    OVERHEAD_BYTES,
                    () -> {
                        watches.add(check);
                        check.run();
                    });
            time.after(
                    timeoutMillis,
                    () -> {
                        if (watches.remove(check)) {
                            reply(List.of(), promise, 0);
                        }
                    });
            time.after(timeoutMillis + TIMEOUT_MILLIS, () -> expire(promise));
            return promise;
        }

        /**
         * Makes one call.
         *
         * @param requestBytes the bytes of the value sent
         * @param operation what the service does
         * @param answerBytes computes the bytes of the value answered
         * @param <T> the type of the answer
         * @return the answer
         */
        private <T> Promise<T> call(
                int requestBytes, Supplier<T> operation, ToIntFunction<T> answerBytes) {
            calls++;
            SettablePromise<T> promise = new SettablePromise<>();
            network.sendStream(
                    member,
                    ADDRESS,
                    OVERHEAD_BYTES + requestBytes,
                    () -> {
                        T result = operation.get();
                        reply(result, promise, answerBytes.applyAsInt(result));
                    });
            time.after(TIMEOUT_MILLIS, () -> expire(promise));
            return promise;
        }

        /**
         * Sends an answer.
         *
         * @param result the answer
         * @param promise completed with it on arrival
         * @param bytes the bytes of its value
         * @param <T> the type of the answer
         */
        private <T> void reply(T result, SettablePromise<T> promise, int bytes) {
            network.sendStream(
                    ADDRESS,
                    member,
                    OVERHEAD_BYTES + bytes,
                    () -> {
                        if (!promise.isComplete()) {
                            promise.set(result);
                        }
                    });
        }

        /**
         * Fails a call without an answer.
         *
         * @param promise the promise of the call
         */
        private static void expire(SettablePromise<?> promise) {
            if (!promise.isComplete()) {
                promise.setException(
                        new DamasktillerException(
                                ErrorCode.STORE_UNAVAILABLE,
                                Step.COMMIT,
                                "store",
                                Outcome.OUTCOME_UNKNOWN,
                                "no answer"));
            }
        }

        /**
         * Adds up the bytes of values.
         *
         * @param values the values
         * @return the bytes
         */
        private static int size(List<StoredValue> values) {
            return values.stream().mapToInt(value -> value.value().length).sum();
        }
    }
}
