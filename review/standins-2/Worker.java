import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One life of a worker, as PROTOCOL.md describes it. */
final class Worker {

    private static final int END_LIST_LIMIT = 500;
    private static final long HEARTBEAT_MILLIS = 1_100;
    private static final long SILENT_INTERVALS = 3;

    /** A run of a task. */
    static final class Run {
        final String task;
        final long number;
        final Rig.TaskKind kind;
        final long startedMillis = now();
        boolean stopping;
        boolean over;
        Gang gang;
        long savedAtStart;

        Run(String task, long number, Rig.TaskKind kind) {
            this.task = task;
            this.number = number;
            this.kind = kind;
        }
    }

    private record End(long sequence, String task, long run, String how, String saved) {}

    final String id;
    final int port;
    final Rig rig;
    final int index;
    private final long bornUnixMillis = System.currentTimeMillis();
    private final long bornMillis = now();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private long lastSequence;
    private long highestToken;
    private long leaseEnd;
    private long beats;
    private volatile boolean alive = true;
    private volatile boolean dark;
    private volatile boolean draining;
    private final Net.Server server;

    /** May replace the handling of a call: returns null to let the worker answer. */
    volatile java.util.function.Function<Net.Request, Net.Response> fault = request -> null;

    Worker(Rig rig, int index, String id, int port) throws IOException {
        this.rig = rig;
        this.index = index;
        this.id = id;
        this.server = new Net.Server(port, this::handle);
        this.port = server.port();
        Net.thread("worker-" + id, this::beat);
        Net.thread("leases-" + id, this::expire);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private long clock() {
        return now() - bornMillis;
    }

    private void beat() {
        while (alive) {
            beats++;
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", rig.service);
            entry.put("address", "127.0.0.1:" + port);
            entry.put("zone", rig.zoneOf(index));
            entry.put("version", "v1");
            entry.put("slots", 8);
            entry.put("state", draining ? "draining" : "ready");
            entry.put("cold_remaining_ms", 0);
            entry.put("born", bornUnixMillis);
            entry.put("capacity", rig.capacity());
            entry.put("labels", List.of("a", "r" + index % 4));
            entry.put("clock_ms", clock());
            entry.put("sequence", beats);
            if (alive) {
                rig.store.write("servers/" + id, entry);
            }
            Rig.sleep(HEARTBEAT_MILLIS);
        }
    }

    private void expire() {
        while (alive) {
            synchronized (this) {
                if (!running.isEmpty() && clock() >= leaseEnd) {
                    for (Run run : new ArrayList<>(running.values())) {
                        finish(run, "lapsed", saved(run));
                    }
                }
            }
            Rig.sleep(10);
        }
    }

    /** Ends this life without a word; the entry goes after three intervals of silence. */
    void crash() {
        server.close();
        end();
    }

    /** Ends this life; nothing at its address answers or refuses any more. */
    void goDark() {
        dark = true;
        end();
    }

    private void end() {
        alive = false;
        synchronized (this) {
            for (Run run : running.values()) {
                run.over = true;
                rig.record("crashed", run.task, run.number, id, "");
                rig.onRunOver(run.task, run.number, "crashed");
                if (run.gang != null) {
                    run.gang.onMemberOver(run);
                }
            }
            running.clear();
            notifyAll();
        }
        Net.thread(
                "silence-" + id,
                () -> {
                    Rig.sleep(SILENT_INTERVALS * HEARTBEAT_MILLIS);
                    rig.store.delete("servers/" + id);
                });
    }

    boolean isAlive() {
        return alive;
    }

    /** Lets everything that runs here fail through its own fault. */
    synchronized void failRuns() {
        for (Run run : new ArrayList<>(running.values())) {
            finish(run, "failed", saved(run));
        }
    }

    synchronized int runCount() {
        return running.size();
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    private long usedCpu() {
        return running.values().stream().mapToLong(run -> run.kind.cpu()).sum();
    }

    private Net.Response handle(Net.Request request) throws InterruptedException {
        while (dark) {
            Thread.sleep(1_000);
        }
        Net.Response replaced = fault.apply(request);
        if (replaced != null) {
            return replaced == Store.DROP ? null : replaced;
        }
        Net.Response response = carryOut(request);
        while (dark) {
            Thread.sleep(1_000);
        }
        return response;
    }

    /** Carries a call out. */
    Net.Response carryOut(Net.Request request) throws InterruptedException {
        if (!alive) {
            return null;
        }
        String expected = request.headers().get("x-damasktiller-expected-instance");
        if (expected != null && !expected.equals(id)) {
            return new Net.Response(421, "");
        }
        Map<String, Object> body = request.json();
        return switch (request.path()) {
            case "/api/run-start" -> start(body);
            case "/api/run-stop" -> stop(body);
            case "/api/hold" -> hold(body);
            case "/api/pace" -> pace(body);
            case "/health" -> new Net.Response(200, "{}");
            default -> new Net.Response(404, "");
        };
    }

    private Map<String, Object> said() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("clock_ms", clock());
        map.put("born", bornUnixMillis);
        return map;
    }

    private Net.Response refused(String reason) {
        Map<String, Object> map = said();
        map.put("reason", reason);
        return new Net.Response(409, Net.Json.write(map));
    }

    private Net.Response ok() {
        return new Net.Response(200, Net.Json.write(said()));
    }

    private static long number(Map<String, Object> body, String name) {
        return body.get(name) instanceof Long value ? value : 0;
    }

    private boolean isFenced(Map<String, Object> body) {
        long token = number(body, "fencing_token");
        if (token < highestToken) {
            return true;
        }
        highestToken = token;
        return false;
    }

    private void extend(Map<String, Object> body) {
        if (body.get("until_ms") instanceof Long until) {
            leaseEnd = Math.max(leaseEnd, Math.min(until, clock() + Rig.HOLD_MAX_MILLIS));
        }
    }

    private synchronized Net.Response start(Map<String, Object> body) {
        if (isFenced(body)) {
            return refused("fence");
        }
        String task = (String) body.get("task");
        long run = number(body, "run");
        Run present = running.get(task);
        if (present != null && present.number == run) {
            return ok();
        }
        if (number(body, "until_ms") <= clock()) {
            return refused("late");
        }
        extend(body);
        if (present != null || run <= highestEnded.getOrDefault(task, 0L)) {
            return refused("old");
        }
        Rig.TaskKind kind = rig.kindOf(task);
        if (kind != null && usedCpu() + kind.cpu() > rig.workerCpu) {
            return refused("room");
        }
        rig.onStart(task, run, id, (String) body.get("spec"));
        Run added = new Run(task, run, kind == null ? Rig.TaskKind.UNKNOWN : kind);
        running.put(task, added);
        Object checkpoint = body.get("checkpoint");
        String value = checkpoint == null ? "" : checkpoint.toString();
        added.savedAtStart = value.isEmpty() ? 0 : Long.parseLong(value, 16);
        if (added.kind.gang()) {
            rig.record("checkpoint \"" + value + "\" of", task, run, id, "");
            added.gang = rig.gangOf(task, run, rig.submissionOf(task).tasks);
            added.gang.join(added, this, value);
        } else if (added.kind.millis() > 0) {
            Net.thread(
                    "run",
                    () -> {
                        Rig.sleep(
                                added.kind.millis()
                                        - added.savedAtStart * Gang.CHECKPOINT_MILLIS
                                        + (added.savedAtStart > 0 ? Gang.RESTORE_MILLIS : 0));
                        synchronized (Worker.this) {
                            if (!added.stopping) {
                                finish(added, "done", "");
                            }
                        }
                    });
        }
        return ok();
    }

    /** Ends a member of a gang. */
    void end(Run run, String how, String saved) {
        finish(run, how, saved);
    }

    private synchronized void finish(Run run, String how, String saved) {
        if (run.over || !alive) {
            return;
        }
        run.over = true;
        running.remove(run.task);
        highestEnded.merge(run.task, run.number, Math::max);
        lastSequence++;
        ends.add(new End(lastSequence, run.task, run.number, how, saved));
        if (run.gang != null) {
            run.gang.onMemberOver(run);
        }
        rig.record(how, run.task, run.number, id, "");
        rig.onRunOver(run.task, run.number, how);
        notifyAll();
    }

    private static String saved(Run run) {
        if (run.gang != null) {
            return run.gang.checkpoint();
        }
        long saved = run.savedAtStart;
        if (run.kind.checkpointing()) {
            saved += (now() - run.startedMillis) / Gang.CHECKPOINT_MILLIS;
        }
        return saved == 0 ? "" : String.format("%016x", saved);
    }

    private synchronized Net.Response stop(Map<String, Object> body) {
        if (isFenced(body)) {
            return refused("fence");
        }
        String task = (String) body.get("task");
        long run = number(body, "run");
        highestEnded.merge(task, run, Math::max);
        Run present = running.get(task);
        if (present != null && present.number <= run && !present.stopping) {
            present.stopping = true;
            Net.thread(
                    "stop",
                    () -> {
                        Rig.sleep(Rig.STOP_MILLIS);
                        finish(present, "stopped", saved(present));
                    });
        }
        return ok();
    }

    private synchronized Net.Response pace(Map<String, Object> body) {
        return isFenced(body) ? refused("fence") : ok();
    }

    private synchronized Net.Response hold(Map<String, Object> body) throws InterruptedException {
        if (isFenced(body)) {
            return refused("fence");
        }
        extend(body);
        long seen = number(body, "last_seen");
        for (End end : ends) {
            if (end.sequence() <= seen) {
                rig.onNoted(end.task(), end.run(), end.how());
            }
        }
        ends.removeIf(end -> end.sequence() <= seen);
        long deadline = now() + number(body, "wait_ms");
        while (alive && ends.isEmpty() && now() < deadline) {
            wait(Math.max(1, deadline - now()));
        }
        if (!alive) {
            return null;
        }
        Map<String, Object> map = said();
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long done = now() - run.startedMillis;
            long percent =
                    run.kind.millis() > 0 ? Math.min(99, 100 * done / run.kind.millis()) : 100;
            rows.add(List.of(run.task, run.number, saved(run), percent, run.kind.cpu()));
        }
        map.put("running", rows);
        List<Object> finished = new ArrayList<>();
        for (End end : ends) {
            if (finished.size() < END_LIST_LIMIT) {
                finished.add(
                        List.of(
                                end.sequence(), end.task(), end.run(), end.how(), end.saved()));
            }
        }
        map.put("finished", finished);
        return new Net.Response(200, Net.Json.write(map));
    }

    /** Reports that it drains. */
    void drain() {
        draining = true;
    }
}
