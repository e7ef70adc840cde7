package org.damasktiller.lab.table;

import io.activej.promise.Promise;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.identity.ZoneName;
import org.damasktiller.lab.rig.LabEventLoop;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.platform.metadata.HttpMetadataStore;
import org.damasktiller.table.TableRepository;

/**
 * Gives the commands of an operator blocking access to the table in the platform's store. Owns an
 * event loop with its thread, which ends when the session is closed.
 */
public final class TableSession implements AutoCloseable {

    /** The timeout of a request to the store, in milliseconds. */
    private static final long STORE_TIMEOUT_MILLIS = 5_000;

    /** The event loop that performs all requests. */
    private final LabEventLoop loop = new LabEventLoop("table", System.err::println);

    /** Reads and edits the table; used on the thread of the loop only. */
    private final TableRepository repository;

    /**
     * Opens a session. The store is not contacted before the first call.
     *
     * @param store the address of the store
     * @param zones the availability zones that the table may name
     */
    public TableSession(InetSocketAddress store, Set<ZoneName> zones) {
        JsonHttpClient client = new JsonHttpClient(loop.eventloop(), STORE_TIMEOUT_MILLIS);
        MetadataKeyValueStore keyValueStore =
                new MetadataKeyValueStore(new HttpMetadataStore(client, client, store));
        repository = new TableRepository(keyValueStore, zones, loop.runtime()::unixMillis, () -> 0);
    }

    /**
     * Performs an action on the table and blocks until it has completed.
     *
     * @param action starts the action; called on the thread of the event loop
     * @param <T> the type of the result
     * @return the result of the action
     * @throws DamasktillerException if the action failed
     */
    public <T> T call(Function<TableRepository, Promise<T>> action) {
        try {
            return loop.await(
                    result ->
                            action.apply(repository)
                                    .whenResult(result::complete)
                                    .whenException(result::completeExceptionally));
        } catch (CompletionException exception) {
            if (exception.getCause() instanceof DamasktillerException failure) {
                throw failure;
            }
            throw exception;
        }
    }

    @Override
    public void close() {
        loop.close();
    }
}
