package org.damasktiller.node.cluster;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damasktiller.platform.call.JsonHttpClient;
import org.damasktiller.platform.http.EventLoops;
import org.damasktiller.platform.order.HttpWorkerClient;
import org.damasktiller.platform.record.JsonPlatformRecordDecoder;
import org.damasktiller.scheduler.cell.CellEnvironment;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellOwner;
import org.damasktiller.scheduler.cell.CellSettings;
import org.damasktiller.scheduler.cell.CellTerm;
import org.damasktiller.scheduler.cell.HeadRecord;
import org.damasktiller.scheduler.cell.OwnerRecord;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.port.AdviceReply;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.damasktiller.standin.metadata.FaultInjectingStoreClient;
import org.damasktiller.standin.metadata.FaultPlan;
import org.damasktiller.standin.metadata.InMemoryStore;
import org.damasktiller.standin.time.VirtualTimeRuntime;
import org.junit.jupiter.api.Test;

/**
 * Tests that an owner with the real decoder and the real client of the workers follows the list of
 * workers although another writer left an odd entry there. No worker listens.
 */
final class OddWorkerEntryTest {

    /** The prefix of the keys of the workers. */
    private static final String KEY_PREFIX = "servers/";

    /** An entry to which an address is appended. */
    private static final String ENTRY =
            "{\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"labels\":[\"a\"],"
                    + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"address\":";

    private final VirtualTimeRuntime runtime = new VirtualTimeRuntime();

    private final InMemoryStore store = new InMemoryStore(runtime);

    /** The workers that the owner has taken into its list, in this order. */
    private final List<String> listed = new ArrayList<>();

    /** Entries that can't be those of workers were polled, one with a header of its own. */
    @Test
    void oddEntriesOfTheFirstListingAreNotPolled() {
        registerOddEntries();
        register("i-2", "127.0.0.1:8080");
        startOwner();
        runtime.advance(1_000);
        assertThat(listed, contains("i-2"));
    }

    /** As above, with entries that appear while the owner follows the list. */
    @Test
    void oddEntriesThatAppearAreNotPolled() {
        register("i-1", "127.0.0.1:8080");
        startOwner();
        runtime.advance(1_000);
        registerOddEntries();
        runtime.advance(1_000);
        register("i-3", "127.0.0.1:8081");
        runtime.advance(1_000);
        assertThat(listed, contains("i-1", "i-3"));
    }

    /** Writes entries whose address or identifier no worker can have. */
    private void registerOddEntries() {
        register("i-1-odd", "127.0.0.1:0");
        register("i-1-own", "0.0.0.0:8080");
        register("", "127.0.0.1:8080");
        register("i-1\r\nX-Other: value", "127.0.0.1:8080");
    }

    /**
     * Writes the entry of a worker.
     *
     * @param id the identifier of the worker
     * @param address the address
     */
    private void register(String id, String address) {
        byte[] value = (ENTRY + '"' + address + "\"}").getBytes(StandardCharsets.UTF_8);
        store.commit(new StoreTransaction().put(KEY_PREFIX + id, value));
    }

    /** Starts an owner of the cell. */
    private void startOwner() {
        JsonHttpClient client = new JsonHttpClient(EventLoops.create(), 1_000);
        CellEnvironment environment =
                new CellEnvironment(
                        CellSettings.builder().build(),
                        new FaultInjectingStoreClient(store, runtime, FaultPlan.NO_FAULTS),
                        new HttpWorkerClient(client, client),
                        (step, workers, callback) ->
                                callback.accept(new AdviceReply(true, Map.of(), 0, "")),
                        new JsonPlatformRecordDecoder(),
                        runtime,
                        this::log,
                        TestManifests.of(1, List.of("s")),
                        Set.of());
        OwnerRecord record = new OwnerRecord("node", "process", 1);
        HeadRecord head = new HeadRecord(1, 0, record.node());
        long revision =
                store.commit(
                                new StoreTransaction()
                                        .put(CellKeys.owner("s"), StoredValueCodec.encode(record))
                                        .put(CellKeys.head("s"), StoredValueCodec.encode(head)))
                        .require()
                        .revision();
        CellTerm term = new CellTerm(1, record, revision, 0);
        new CellOwner(environment, "s", term, entry -> true, reason -> {}).start();
    }

    /**
     * Notes the workers that the owner lists.
     *
     * @param event the name of the event
     * @param fields the names and values of the fields
     */
    private void log(String event, Object... fields) {
        if (event.equals("worker.listed")) {
            listed.add(String.valueOf(fields[1]));
        }
    }
}
