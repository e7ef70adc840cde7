import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** The platform's metadata store, as PROTOCOL.md describes it; in memory and never down by itself. */
final class Store {

    private static final int PAGE_ITEMS = 500;
    private static final long HISTORY_MILLIS = 20_000;
    private static final int STORE_DELAY_MILLIS = 4;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long atMillis, String key, long revision, Item item) {}

    private static final class Lease {
        final long ttlMillis;
        long endsMillis;

        Lease(long ttlMillis) {
            this.ttlMillis = ttlMillis;
            this.endsMillis = now() + ttlMillis;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Deque<Event> history = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long oldest = 100;
    private long lastLease = 7000;
    final Net.Server server;

    /** The entry VM whose conditional write was accepted last. */
    volatile String lastWriter = "";

    /** May answer a call instead of the store: returns null to let the store answer. */
    volatile Function<Net.Request, Net.Response> fault = request -> null;

    /** Drops the connection without an answer. */
    static final Net.Response DROP = new Net.Response(0, "");

    Store() throws IOException {
        server = new Net.Server(0, this::handle);
        Net.thread("leases", this::expire);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = now();
                for (Long id : new ArrayList<>(leases.keySet())) {
                    if (leases.get(id).endsMillis <= now) {
                        end(id);
                    }
                }
            }
            Rig.sleep(20);
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease() == lease) {
                keys.add(item.key());
            }
        });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            note(new Event(now(), key, revision, null));
        }
    }

    private void put(String key, String value, long lease) {
        Item before = items.get(key);
        Item item =
                new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        note(new Event(now(), key, revision, item));
    }

    private void note(Event event) {
        history.addLast(event);
        while (history.peekFirst().atMillis() < now() - HISTORY_MILLIS) {
            oldest = history.removeFirst().revision();
        }
    }

    /** Writes a key as the operator or a worker does. */
    synchronized void write(String key, Map<String, Object> value) {
        revision++;
        put(key, Base64.getEncoder().encodeToString(Net.Json.write(value).getBytes()), 0);
        notifyAll();
    }

    /** Removes a key as the operator or a worker does. */
    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** Returns the text of the values whose keys begin with a prefix. */
    synchronized Map<String, String> dump(String prefix) {
        Map<String, String> found = new TreeMap<>();
        items.tailMap(prefix).forEach((key, item) -> {
            if (key.startsWith(prefix)) {
                found.put(key, new String(Base64.getDecoder().decode(item.value())));
            }
        });
        return found;
    }

    /** Opens a further port for one entry VM, so that its writes can be told from others. */
    int portFor(String node) throws IOException {
        return new Net.Server(
                        0,
                        request -> {
                            Net.Response response = handle(request);
                            if (request.path().equals("/api/kv-txn")
                                    && response != null
                                    && response.status() == 200
                                    && request.body().contains("\"revision\"")) {
                                lastWriter = node;
                            }
                            return response;
                        })
                .port();
    }

    private Net.Response handle(Net.Request request) throws InterruptedException {
        Thread.sleep(STORE_DELAY_MILLIS);
        Net.Response replaced = fault.apply(request);
        if (replaced != null) {
            return replaced == DROP ? null : replaced;
        }
        return carryOut(request);
    }

    /** Carries a call out. */
    Net.Response carryOut(Net.Request request) throws InterruptedException {
        String path = request.path();
        if (path.startsWith("/api/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/api/kv-keep/".length())));
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            synchronized (this) {
                end(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
            }
            return new Net.Response(200, "{}");
        }
        return switch (path) {
            case "/api/kv-key" -> read(request.query().get("key"));
            case "/api/kv-range" ->
                    range(request.query().get("path_prefix"), request.query().get("after"));
            case "/api/kv-watch" ->
                    watch(
                            request.query().get("path_prefix"),
                            Long.parseLong(request.query().get("after")),
                            Long.parseLong(request.query().get("wait_ms")));
            case "/api/kv-txn" -> transact(request.json());
            case "/api/kv-lease" -> grant((Long) request.json().get("ttl_ms"));
            default -> new Net.Response(404, "");
        };
    }

    private synchronized Net.Response keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Net.Response(404, "");
        }
        lease.endsMillis = now() + lease.ttlMillis;
        return new Net.Response(200, "{\"ttl_ms\":" + lease.ttlMillis + "}");
    }

    private synchronized Net.Response grant(long ttl) {
        long millis = Math.max(1000, Math.min(ttl, 600_000));
        lastLease++;
        leases.put(lastLease, new Lease(millis));
        return new Net.Response(200, "{\"lease\":" + lastLease + ",\"ttl_ms\":" + millis + "}");
    }

    private static Map<String, Object> encode(Item item) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("key", item.key());
        map.put("value", item.value());
        map.put("revision", item.revision());
        map.put("created", item.created());
        map.put("lease", item.lease());
        return map;
    }

    private synchronized Net.Response read(String key) {
        Item item = items.get(key);
        if (item == null) {
            return new Net.Response(404, "");
        }
        Map<String, Object> map = encode(item);
        map.put("store_revision", revision);
        return new Net.Response(200, Net.Json.write(map));
    }

    private synchronized Net.Response range(String prefix, String after) {
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (after != null && !after.isEmpty() && item.key().compareTo(after) <= 0) {
                continue;
            }
            if (found.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            found.add(encode(item));
        }
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("items", found);
        map.put("has_more", more);
        map.put("store_revision", revision);
        return new Net.Response(200, Net.Json.write(map));
    }

    private synchronized Net.Response watch(String prefix, long after, long waitMillis)
            throws InterruptedException {
        long deadline = now() + waitMillis;
        while (true) {
            if (after < oldest) {
                return new Net.Response(410, "");
            }
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    if (event.item() != null) {
                        events.add(encode(event.item()));
                    } else {
                        Map<String, Object> gone = new LinkedHashMap<>();
                        gone.put("key", event.key());
                        gone.put("revision", event.revision());
                        gone.put("deleted", true);
                        events.add(gone);
                    }
                }
            }
            long left = deadline - now();
            if (!events.isEmpty() || left <= 0) {
                Map<String, Object> map = new LinkedHashMap<>();
                map.put("events", events);
                map.put("store_revision", revision);
                return new Net.Response(200, Net.Json.write(map));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Net.Response transact(Map<String, Object> body) {
        List<Object> conditions =
                (List<Object>) body.getOrDefault("expected_revision", new ArrayList<>());
        List<Object> puts = (List<Object>) body.getOrDefault("puts", new ArrayList<>());
        List<Object> removals = (List<Object>) body.getOrDefault("remove", new ArrayList<>());
        if (conditions.size() + puts.size() + removals.size() > 32) {
            return new Net.Response(400, "");
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object row : conditions) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            holds &= (item == null ? 0 : item.revision()) == (Long) condition.get("revision");
            if (item != null) {
                current.add(encode(item));
            }
        }
        if (!holds) {
            return new Net.Response(412, Net.Json.write(Map.of("items", current)));
        }
        for (Object row : puts) {
            Object lease = ((Map<String, Object>) row).get("lease");
            if (lease instanceof Long id && id != 0 && !leases.containsKey(id)) {
                return new Net.Response(404, "");
            }
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> write = (Map<String, Object>) row;
            Object lease = write.get("lease");
            put(
                    (String) write.get("key"),
                    (String) write.get("value"),
                    lease instanceof Long id ? id : 0);
        }
        for (Object key : removals) {
            remove((String) key);
        }
        notifyAll();
        return new Net.Response(200, "{\"revision\":" + revision + "}");
    }
}
