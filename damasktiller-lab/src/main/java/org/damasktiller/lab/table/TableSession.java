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

/** A connection of an operator to the table in the platform's store. */
public final class TableSession implements AutoCloseable {

    /** How long an answer of the store may take, in milliseconds. */
    private static final long STORE_MILLIS = 5_000;

    /** The loop. */
    private final LabEventLoop loop = new LabEventLoop("table", System.err::println);

    /** The table. */
    private final TableRepository repository;

    /**
     * Opens a session.
     *
     * @param store the address of the store
     * @param zones the availability zones that the table may name
     */
    public TableSession(InetSocketAddress store, Set<ZoneName> zones) {
        JsonHttpClient client = new JsonHttpClient(loop.eventloop(), STORE_MILLIS);
        MetadataKeyValueStore records =
                new MetadataKeyValueStore(new HttpMetadataStore(client, client, store));
        repository = new TableRepository(records, zones, loop.runtime()::unixMillis, () -> 0);
    }

    /**
     * Does something with the table and waits for the result.
     *
     * @param action what to do
     * @param <T> the type of the result
     * @return the result
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
            if (exception.getCause() instanceof DamasktillerException known) {
                throw known;
            }
            throw exception;
        }
    }

    @Override
    public void close() {
        loop.close();
    }
}
