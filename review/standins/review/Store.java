package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The platform's store as PROTOCOL.md describes it: items, watches, transactions and leases. */
final class Store {

    /** The longest value, as in the settings of DEPLOY.md. */
    static final int VALUE_BYTES = 1_048_576;

    private static final int PAGE_ITEMS = 500;

    private static final int TRANSACTION_ENTRIES = 32;

    private static final int KEY_BYTES = 200;

    private static final int KEPT_EVENTS = 20_000;

    /** Decides what happens to a write. */
    interface WriteFault {

        /** The write is carried out and answered. */
        long NONE = -1;

        /** Returns NONE, or after how many milliseconds the write is carried out unanswered. */
        long delayMillis(JsonNode transaction);
    }

    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private static final class Lease {

        long ttlMillis;

        long endsAtMillis;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();

    private final List<Event> events = new ArrayList<>();

    private final Map<Long, Lease> leases = new HashMap<>();

    private final Recorder recorder;

    private final ScheduledExecutorService timers;

    private final ExecutorService threads;

    /** The ports at which the store leaves all calls unanswered. */
    private final Set<Integer> silentPorts = ConcurrentHashMap.newKeySet();

    private long revision = 100;

    private long oldestRevision = 100;

    private long nextLease = 77_000;

    private boolean refusedLarge;

    private volatile WriteFault writeFault = transaction -> WriteFault.NONE;

    Store(Recorder recorder, ExecutorService threads, ScheduledExecutorService timers) {
        this.recorder = recorder;
        this.timers = timers;
        this.threads = threads;
        timers.scheduleAtFixedRate(this::endLeases, 20, 20, TimeUnit.MILLISECONDS);
    }

    /** Opens an address of the store for one machine, and returns its port. */
    int openPort() {
        return Http.serve(0, threads, this::handle).getAddress().getPort();
    }

    /** Lets the store leave the calls of a machine unanswered, or answer them again. */
    void silent(int port, boolean silent) {
        if (silent) {
            silentPorts.add(port);
        } else {
            silentPorts.remove(port);
        }
    }

    private boolean isSilent(HttpExchange exchange) {
        return silentPorts.contains(exchange.getLocalAddress().getPort());
    }

    void writeFault(WriteFault fault) {
        writeFault = fault;
    }

    /** Writes an item as the operator or a worker does. */
    synchronized void put(String key, ObjectNode value) {
        apply(key, value.toString().getBytes(StandardCharsets.UTF_8), 0, ++revision);
        notifyAll();
    }

    /** Removes an item as the operator or a worker does. */
    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            delete(key, ++revision);
            notifyAll();
        }
    }

    private void apply(String key, byte[] value, long lease, long newRevision) {
        Item before = items.get(key);
        Item item =
                new Item(key, value, newRevision, before == null ? newRevision : before.created, lease);
        items.put(key, item);
        note(new Event(key, newRevision, item));
    }

    private void delete(String key, long newRevision) {
        if (items.remove(key) != null) {
            note(new Event(key, newRevision, null));
        }
    }

    private void note(Event event) {
        events.add(event);
        if (events.size() > 2 * KEPT_EVENTS) {
            oldestRevision = events.get(KEPT_EVENTS).revision;
            events.subList(0, KEPT_EVENTS).clear();
        }
    }

    private synchronized void endLeases() {
        long now = recorder.now();
        for (Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
            if (now >= entry.getValue().endsAtMillis) {
                endLease(entry.getKey());
            }
        }
    }

    private void endLease(long id) {
        if (leases.remove(id) == null) {
            return;
        }
        List<String> keys =
                items.values().stream().filter(item -> item.lease == id).map(Item::key).toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(key -> delete(key, revision));
        }
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (isSilent(exchange)) {
            return;
        }
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = Http.query(exchange);
        JsonNode body = Http.body(exchange);
        if (path.equals("/api/kv-txn")) {
            transact(exchange, body);
        } else if (path.equals("/api/kv-watch")) {
            watch(exchange, query);
        } else {
            Answer answer = call(path, query, body);
            Http.answer(exchange, answer.status, answer.body);
        }
    }

    private record Answer(int status, ObjectNode body) {}

    private synchronized Answer call(String path, Map<String, String> query, JsonNode body) {
        if (path.equals("/api/kv-key")) {
            Item item = items.get(query.get("key"));
            return item == null
                    ? new Answer(404, Http.object().put("store_revision", revision))
                    : new Answer(200, encode(item).put("store_revision", revision));
        }
        if (path.equals("/api/kv-range")) {
            return new Answer(200, page(query));
        }
        if (path.equals("/api/kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMillis = Math.max(1_000, body.path("ttl_ms").asLong());
            lease.endsAtMillis = recorder.now() + lease.ttlMillis;
            leases.put(++nextLease, lease);
            return new Answer(
                    200, Http.object().put("lease", nextLease).put("ttl_ms", lease.ttlMillis));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/api/kv-keep/")) {
            Lease lease = leases.get(id);
            if (lease == null) {
                return new Answer(404, null);
            }
            lease.endsAtMillis = recorder.now() + lease.ttlMillis;
            return new Answer(200, Http.object());
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            endLease(id);
            return new Answer(200, Http.object());
        }
        return new Answer(404, null);
    }

    private ObjectNode page(Map<String, String> query) {
        String prefix = query.getOrDefault("path_prefix", "");
        String after = query.getOrDefault("after", "");
        ObjectNode body = Http.object();
        ArrayNode rows = body.putArray("items");
        boolean more = false;
        for (Item item : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!item.key.startsWith(prefix)) {
                break;
            }
            if (rows.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            rows.add(encode(item));
        }
        return body.put("has_more", more).put("store_revision", revision);
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("path_prefix", "");
        long after = Long.parseLong(query.get("after"));
        long endsAtMillis = recorder.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ObjectNode body = Http.object();
        ArrayNode rows = body.putArray("events");
        synchronized (this) {
            while (true) {
                if (after < oldestRevision) {
                    break;
                }
                for (int index = events.size() - 1; index >= 0; index--) {
                    Event event = events.get(index);
                    if (event.revision <= after) {
                        break;
                    }
                    if (event.key.startsWith(prefix)) {
                        rows.insert(
                                0,
                                event.item == null
                                        ? Http.object()
                                                .put("key", event.key)
                                                .put("revision", event.revision)
                                                .put("deleted", true)
                                        : encode(event.item));
                    }
                }
                long left = endsAtMillis - recorder.now();
                if (!rows.isEmpty() || left <= 0) {
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException exception) {
                    return;
                }
            }
            body.put("store_revision", revision);
        }
        if (isSilent(exchange)) {
            return;
        }
        Http.answer(exchange, after < oldestRevision ? 410 : 200, body);
    }

    private void transact(HttpExchange exchange, JsonNode body) throws IOException {
        long delayMillis = writeFault.delayMillis(body);
        if (delayMillis != WriteFault.NONE) {
            timers.schedule(
                    () -> {
                        Answer answer = commit(body);
                        recorder.line(
                                "store: carries out an unanswered write to %s: %d",
                                keys(body), answer.status);
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
            recorder.line(
                    "store: leaves the write to %s unanswered for good, done in %d ms",
                    keys(body), delayMillis);
            return;
        }
        Answer answer = commit(body);
        Http.answer(exchange, answer.status, answer.body);
    }

    private static List<String> keys(JsonNode transaction) {
        List<String> keys = new ArrayList<>();
        transaction.path("puts").forEach(put -> keys.add(put.path("key").asText()));
        transaction.path("remove").forEach(key -> keys.add("-" + key.asText()));
        return keys;
    }

    private synchronized Answer commit(JsonNode body) {
        JsonNode conditions = body.path("expected_revision");
        JsonNode puts = body.path("puts");
        JsonNode removed = body.path("remove");
        if (conditions.size() + puts.size() + removed.size() > TRANSACTION_ENTRIES) {
            return new Answer(400, Http.object());
        }
        for (JsonNode put : puts) {
            String key = put.path("key").asText();
            int bytes = Base64.getDecoder().decode(put.path("value").asText()).length;
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return new Answer(403, null);
            }
            if (bytes > VALUE_BYTES || key.getBytes(StandardCharsets.UTF_8).length > KEY_BYTES) {
                if (!refusedLarge) {
                    refusedLarge = true;
                    recorder.line("store: 400, the value of %s has %d bytes", key, bytes);
                }
                return new Answer(400, Http.object());
            }
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, null);
            }
        }
        boolean holds = true;
        ArrayNode current = Http.JSON.createArrayNode();
        for (JsonNode condition : conditions) {
            Item item = items.get(condition.path("key").asText());
            long present = item == null ? 0 : item.revision;
            holds &= present == condition.path("revision").asLong();
            if (item != null) {
                current.add(encode(item));
            }
        }
        if (!holds) {
            ObjectNode answer = Http.object();
            answer.set("items", current);
            return new Answer(412, answer);
        }
        revision++;
        for (JsonNode put : puts) {
            apply(
                    put.path("key").asText(),
                    Base64.getDecoder().decode(put.path("value").asText()),
                    put.path("lease").asLong(),
                    revision);
        }
        removed.forEach(key -> delete(key.asText(), revision));
        notifyAll();
        return new Answer(200, Http.object().put("revision", revision));
    }

    private static ObjectNode encode(Item item) {
        return Http.object()
                .put("key", item.key)
                .put("value", Base64.getEncoder().encodeToString(item.value))
                .put("revision", item.revision)
                .put("created", item.created)
                .put("lease", item.lease);
    }
}
