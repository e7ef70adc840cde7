import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The platform's store, after PROTOCOL.md. It answers each call and keeps all of its history.
 */
final class Store {

    private static final int PAGE_ITEMS = 500;

    /** The most bytes of the items of an answer, unless a single one is larger. */
    private static final long PAGE_BYTES = 1_000_000;

    /** An item. */
    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    /** A change; without an item it is a removal. */
    private record Event(String key, long revision, Item item) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTimes = new HashMap<>();
    private long revision = 1;
    private long lastLease;

    Store() {
        Thread sweeper = new Thread(this::endLeases);
        sweeper.setDaemon(true);
        sweeper.start();
    }

    /** Starts an address and returns its port. */
    int listen() throws IOException {
        return Http.serve(this::carryOut).getAddress().getPort();
    }

    private Http.Answer carryOut(Http.Call call) throws InterruptedException {
        String path = call.path();
        if (path.equals("/api/kv-watch")) {
            return watch(call);
        }
        synchronized (this) {
            if (path.startsWith("/api/kv-keep/")) {
                long lease = Long.parseLong(path.substring("/api/kv-keep/".length()));
                if (!leaseEnds.containsKey(lease)) {
                    return new Http.Answer(404, null);
                }
                leaseEnds.put(lease, System.nanoTime() + leaseTimes.get(lease) * 1_000_000);
                return new Http.Answer(200, Http.object().put("ttl_ms", leaseTimes.get(lease)));
            }
            if (path.startsWith("/api/kv-lease-end/")) {
                endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
                return new Http.Answer(200, Http.object());
            }
            return switch (path) {
                case "/api/kv-key" -> read(call.query().get("key"));
                case "/api/kv-range" -> range(call);
                case "/api/kv-txn" -> transact(call.body());
                case "/api/kv-lease" -> lease(call.body());
                default -> new Http.Answer(404, null);
            };
        }
    }

    private Http.Answer read(String key) {
        Item item = items.get(key);
        return item == null
                ? new Http.Answer(404, Http.object().put("store_revision", revision))
                : new Http.Answer(200, encode(item).put("store_revision", revision));
    }

    private Http.Answer range(Http.Call call) {
        String prefix = call.query().getOrDefault("path_prefix", "");
        String after = call.query().getOrDefault("after", "");
        ObjectNode body = Http.object().put("has_more", false).put("store_revision", revision);
        ArrayNode out = body.putArray("items");
        long bytes = 0;
        for (Item item : items.tailMap(after.compareTo(prefix) > 0 ? after : prefix, true).values()) {
            if (!item.key.startsWith(prefix)) {
                break;
            }
            if (item.key.equals(after)) {
                continue;
            }
            bytes += encodedBytes(item);
            if (out.size() == PAGE_ITEMS || (!out.isEmpty() && bytes > PAGE_BYTES)) {
                body.put("has_more", true);
                break;
            }
            out.add(encode(item));
        }
        return new Http.Answer(200, body);
    }

    private Http.Answer watch(Http.Call call) throws InterruptedException {
        String prefix = call.query().getOrDefault("path_prefix", "");
        long after = Long.parseLong(call.query().getOrDefault("after", "0"));
        long end = System.nanoTime() + Long.parseLong(call.query().getOrDefault("wait_ms", "0")) * 1_000_000;
        synchronized (this) {
            while (true) {
                ArrayNode events = Http.JSON.createArrayNode();
                int first = history.size();
                while (first > 0 && history.get(first - 1).revision > after) {
                    first--;
                }
                long reached = revision;
                long bytes = 0;
                for (int index = first; index < history.size(); index++) {
                    Event event = history.get(index);
                    if (!event.key.startsWith(prefix)) {
                        continue;
                    }
                    boolean newRevision = history.get(index - (index > 0 ? 1 : 0)).revision != event.revision;
                    if (bytes > PAGE_BYTES && newRevision) {
                        reached = event.revision - 1;
                        break;
                    }
                    bytes += event.item == null ? 0 : encodedBytes(event.item);
                    events.add(event.item == null
                            ? Http.object().put("key", event.key).put("revision", event.revision).put("deleted", true)
                            : encode(event.item));
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    ObjectNode body = Http.object().put("store_revision", reached);
                    body.set("events", events);
                    return new Http.Answer(200, body);
                }
                wait(left);
            }
        }
    }

    private Http.Answer transact(JsonNode body) {
        for (JsonNode row : body.path("puts")) {
            if (row.path("lease").asLong() != 0 && !leaseEnds.containsKey(row.path("lease").asLong())) {
                return new Http.Answer(404, null);
            }
        }
        boolean holds = true;
        ArrayNode present = Http.JSON.createArrayNode();
        for (JsonNode row : body.path("expected_revision")) {
            Item item = items.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision) == row.path("revision").asLong();
            present.add(item == null ? Http.object().put("key", row.path("key").asText()).put("revision", 0) : encode(item));
        }
        if (!holds) {
            ObjectNode answer = Http.object();
            answer.set("items", present);
            return new Http.Answer(412, answer);
        }
        revision++;
        for (JsonNode row : body.path("puts")) {
            put(row.path("key").asText(), Base64.getDecoder().decode(row.path("value").asText()), row.path("lease").asLong());
        }
        for (JsonNode row : body.path("remove")) {
            remove(row.asText());
        }
        notifyAll();
        return new Http.Answer(200, Http.object().put("revision", revision));
    }

    private Http.Answer lease(JsonNode body) {
        long millis = Math.max(1_000, body.path("ttl_ms").asLong());
        lastLease++;
        leaseTimes.put(lastLease, millis);
        leaseEnds.put(lastLease, System.nanoTime() + millis * 1_000_000);
        return new Http.Answer(200, Http.object().put("lease", lastLease).put("ttl_ms", millis));
    }

    private void put(String key, byte[] value, long lease) {
        Item former = items.get(key);
        Item item = new Item(key, value, revision, former == null ? revision : former.created, lease);
        items.put(key, item);
        history.add(new Event(key, revision, item));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(key, revision, null));
        }
    }

    private void endLease(long lease) {
        if (leaseEnds.remove(lease) == null) {
            return;
        }
        Set<String> keys = new HashSet<>();
        items.values().stream().filter(item -> item.lease == lease).forEach(item -> keys.add(item.key));
        revision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private void endLeases() {
        try {
            while (true) {
                Thread.sleep(50);
                synchronized (this) {
                    List<Long> over = leaseEnds.entrySet().stream()
                            .filter(entry -> entry.getValue() < System.nanoTime()).map(Map.Entry::getKey).toList();
                    over.forEach(this::endLease);
                }
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a value as the operator or a worker does. */
    synchronized void write(String key, ObjectNode value) {
        try {
            revision++;
            put(key, Http.JSON.writeValueAsBytes(value), 0);
            notifyAll();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Removes a key as the operator or the platform does. */
    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** Returns about how many bytes an item takes in an answer. */
    private static long encodedBytes(Item item) {
        return item.value.length * 4L / 3 + item.key.length();
    }

    private static ObjectNode encode(Item item) {
        return Http.object().put("key", item.key).put("value", Base64.getEncoder().encodeToString(item.value))
                .put("revision", item.revision).put("created", item.created).put("lease", item.lease);
    }
}
