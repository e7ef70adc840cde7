package org.damasktiller.standin.client.store;

import io.activej.promise.Promise;
import java.util.List;
import java.util.Optional;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Step;
import org.damasktiller.standin.http.CallContext;
import org.damasktiller.standin.http.JsonClient;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;

/** Reaches the key-value service over HTTP and JSON. */
public final class HttpKeyValueStore implements KeyValueStore {

    /** The path of the service. */
    public static final String PATH = "/store";

    /** The name of the service in errors. */
    private static final String PEER = "store";

    /** How much longer than the service a watcher waits, in milliseconds. */
    private static final long WATCH_MARGIN_MILLIS = 1_000;

    /** The client. */
    private final JsonClient client;

    /** The address of the service. */
    private final String url;

    /** How long to wait for an answer, in milliseconds. */
    private final long timeoutMillis;

    /**
     * Creates a client of the service.
     *
     * @param client the client for the calls
     * @param address the IP address and port of the service
     * @param timeoutMillis how long to wait for an answer, in milliseconds
     */
    public HttpKeyValueStore(JsonClient client, String address, long timeoutMillis) {
        this.client = client;
        this.url = "http://" + address + PATH;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public Promise<Optional<StoredValue>> get(String key) {
        return call(new StoreCall.Get(key), Step.READ, timeoutMillis)
                .map(reply -> reply.values().stream().findFirst());
    }

    @Override
    public Promise<List<StoredValue>> list(String prefix) {
        return call(new StoreCall.ListPrefix(prefix), Step.READ, timeoutMillis)
                .map(StoreReply::values);
    }

    @Override
    public Promise<SwapResult> compareAndSwap(SwapRequest request) {
        return call(new StoreCall.Swap(request), Step.COMMIT, timeoutMillis)
                .map(reply -> reply.swap().get(0));
    }

    @Override
    public Promise<Long> grantLease(long durationMillis) {
        return call(new StoreCall.Grant(durationMillis), Step.COMMIT, timeoutMillis)
                .map(StoreReply::leaseId);
    }

    @Override
    public Promise<Boolean> renewLease(long leaseId) {
        return call(new StoreCall.Renew(leaseId), Step.COMMIT, timeoutMillis)
                .map(StoreReply::leaseStands);
    }

    @Override
    public Promise<Void> revokeLease(long leaseId) {
        return call(new StoreCall.Revoke(leaseId), Step.COMMIT, timeoutMillis).toVoid();
    }

    @Override
    public Promise<List<StoredValue>> watch(String prefix, long afterRevision, long waitMillis) {
        return call(
                        new StoreCall.Watch(prefix, afterRevision, waitMillis),
                        Step.READ,
                        waitMillis + WATCH_MARGIN_MILLIS)
                .map(StoreReply::values);
    }

    /**
     * Sends one call.
     *
     * @param call the call
     * @param step the step for errors
     * @param waitMillis how long to wait, in milliseconds
     * @return the answer
     */
    private Promise<StoreReply> call(StoreCall call, Step step, long waitMillis) {
        CallContext context = new CallContext(step, PEER, ErrorCode.STORE_UNAVAILABLE, waitMillis);
        return client.post(url, call, StoreReply.class, context);
    }
}
