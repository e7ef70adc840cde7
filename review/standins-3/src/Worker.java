import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker, after "Running tasks" and "Service discovery" of PROTOCOL.md. It guards its capacity. A
 * task works for as long as its step estimates, and then ends done. Gangs and advice are left out.
 */
final class Worker {

    /** Decides which orders get no answer and are carried out late. */
    interface Lateness {
        /** Returns after how many milliseconds an order is carried out, or 0 for one that is not late. */
        long millis(Worker worker, Http.Call call);
    }

    /** The bound checkpoint_s of the settings. */
    private static final long CHECKPOINT_MILLIS = 2_000;

    /** The bound heartbeat_ms of the settings. */
    private static final long BEAT_MILLIS = 1_100;

    private static final class Run {
        final String task;
        final int number;
        final long cpu;
        final long memory;
        final long startedAt;
        final String startCheckpoint;
        boolean stopping;
        long worksFrom = -1;

        Run(String task, int number, long cpu, long memory, long startedAt, String startCheckpoint) {
            this.task = task;
            this.number = number;
            this.cpu = cpu;
            this.memory = memory;
            this.startedAt = startedAt;
            this.startCheckpoint = startCheckpoint;
        }
    }

    private record End(long number, String task, int run, String how, String saved) {}

    final String id;
    final Fleet fleet;
    final String zone;
    final List<String> labels;
    final long capacityCpu;
    final long capacityMemory = 64_000;
    private final HttpServer server;
    private final int port;
    volatile boolean up = true;
    volatile Lateness lateness = (worker, call) -> 0;
    private long bootUnixMillis;
    private long bootAt;
    private volatile long lastBeat;
    private int boots;
    private long fence;
    private long leaseEnd;
    private long sequence;
    private long lastEnd;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> highestOver = new HashMap<>();
    private final List<End> ends = new ArrayList<>();

    Worker(String id, Fleet fleet, String zone, long cpu, List<String> labels) throws IOException {
        this.id = id;
        this.fleet = fleet;
        this.zone = zone;
        this.capacityCpu = cpu;
        this.labels = labels;
        this.server = Http.serve(this::receive);
        this.port = server.getAddress().getPort();
        boot();
        Timer.after(0, this::beat);
    }

    private synchronized void boot() {
        up = true;
        boots++;
        bootUnixMillis = System.currentTimeMillis();
        bootAt = fleet.record.now();
        fence = 0;
        leaseEnd = 0;
        lastEnd = 0;
        highestOver.clear();
        ends.clear();
        fleet.record.add("worker %s: up, boot %d, born %d", id, boots, bootUnixMillis);
    }

    /** Ends the process of the worker; it is back under its identifier after some time. */
    synchronized void crash(long millis) {
        if (!up) {
            return;
        }
        up = false;
        fleet.record.add("worker %s: crashed", id);
        for (Run run : new ArrayList<>(running.values())) {
            running.remove(run.task);
            fleet.rules.ended(id, run.task, run.number, "crashed");
        }
        notifyAll();
        if (millis >= 0) {
            Timer.after(millis, this::boot);
        }
    }

    private void beat() {
        if (!up && fleet.record.now() - lastBeat > 3 * BEAT_MILLIS) {
            fleet.store.delete("servers/" + id);
        }
        if (up) {
            lastBeat = fleet.record.now();
            synchronized (this) {
                sequence++;
                ObjectNode entry = Http.object().put("service", Fleet.SERVICE).put("address", "127.0.0.1:" + port)
                        .put("zone", zone).put("version", "v1").put("slots", 8)
                        .put("state", "ready").put("cold_remaining_ms", 0)
                        .put("born", bootUnixMillis).put("clock_ms", clock()).put("sequence", sequence);
                entry.putObject("capacity").put("cpu", capacityCpu).put("mem_mb", capacityMemory).put("gpu", 0);
                ArrayNode names = entry.putArray("labels");
                labels.forEach(names::add);
                fleet.store.write("servers/" + id, entry);
            }
        }
        Timer.after(BEAT_MILLIS, this::beat);
    }

    private long clock() {
        return 1_000 + fleet.record.now() - bootAt;
    }

    private Http.Answer receive(Http.Call call) throws InterruptedException {
        if (!up) {
            return null;
        }
        long millis = lateness.millis(this, call);
        if (millis > 0) {
            fleet.record.add("worker %s: %s %s: no answer, carried out in %d ms", id, call.path(), call.body(), millis);
            Timer.after(millis, () -> carryOutLate(call));
            return null;
        }
        return carryOut(call, true);
    }

    private void carryOutLate(Http.Call call) {
        if (!up) {
            fleet.record.add("worker %s: late %s falls away: no process", id, call.path());
            return;
        }
        try {
            Http.Answer answer = carryOut(call, false);
            fleet.record.add("worker %s: late %s %s carried out: %d %s", id, call.path(), call.body(), answer.status(),
                    answer.status() == 409 ? answer.body() : "");
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private Http.Answer carryOut(Http.Call call, boolean mayWait) throws InterruptedException {
        if (call.instance() != null && !call.instance().equals(id)) {
            return new Http.Answer(421, null);
        }
        JsonNode body = call.body();
        synchronized (this) {
            long token = body.path("fencing_token").asLong();
            if (token < fence) {
                return refusal("fence");
            }
            fence = token;
            return switch (call.path()) {
                case "/api/run-start" -> start(body);
                case "/api/run-stop" -> stop(body);
                case "/api/hold" -> hold(body, mayWait);
                case "/api/pace" -> new Http.Answer(200, reply());
                default -> new Http.Answer(404, null);
            };
        }
    }

    private ObjectNode reply() {
        return Http.object().put("clock_ms", clock()).put("born", bootUnixMillis);
    }

    private Http.Answer refusal(String reason) {
        return new Http.Answer(409, reply().put("reason", reason));
    }

    private void extend(long until) {
        long end = Math.min(until, clock() + fleet.holdMaxMillis);
        if (end > leaseEnd) {
            leaseEnd = end;
            int boot = boots;
            Timer.after(end - clock() + 1, () -> lapse(boot));
        }
    }

    private synchronized void lapse(int boot) {
        if (up && boot == boots && clock() >= leaseEnd) {
            fleet.rules.leaseLapsed(id);
            for (Run run : new ArrayList<>(running.values())) {
                end(run, "lapsed");
            }
        }
    }

    private Http.Answer start(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run present = running.get(task);
        if (present != null && present.number == number) {
            return new Http.Answer(200, reply());
        }
        long until = body.path("until_ms").asLong();
        if (until <= clock()) {
            return refusal("late");
        }
        extend(until);
        if (present != null || number <= highestOver.getOrDefault(task, 0)) {
            return refusal("old");
        }
        Submission submission = fleet.submissions.get(Fleet.submissionOf(task));
        JsonNode step = submission == null ? Http.object() : submission.step(Fleet.stepOf(task));
        long cpu = step.path("fills").asBoolean() ? 0 : step.path("cpu").asLong();
        long memory = step.path("mem_mb").asLong();
        long usedCpu = running.values().stream().mapToLong(run -> run.cpu).sum();
        long usedMemory = running.values().stream().mapToLong(run -> run.memory).sum();
        if (usedCpu + cpu > capacityCpu || usedMemory + memory > capacityMemory) {
            return refusal("room");
        }
        String checkpoint = body.path("checkpoint").asText("");
        Run run = new Run(task, number, cpu, memory, fleet.record.now(), checkpoint);
        running.put(task, run);
        fleet.rules.started(this, task, number, body.path("spec").asText(), checkpoint);
        work(run, step);
        return new Http.Answer(200, reply());
    }

    /** Begins the work of a run. */
    private void work(Run run, JsonNode step) {
        run.worksFrom = fleet.record.now();
        if (step.path("long_running").asBoolean()) {
            return;
        }
        Timer.after(fleet.workMillis(run.task), () -> finish(run));
    }

    private synchronized void finish(Run run) {
        if (running.get(run.task) == run && !run.stopping) {
            end(run, "done");
        }
    }

    private void end(Run run, String how) {
        if (running.get(run.task) != run) {
            return;
        }
        running.remove(run.task);
        highestOver.merge(run.task, run.number, Math::max);
        lastEnd++;
        ends.add(new End(lastEnd, run.task, run.number, how, how.equals("done") ? "" : checkpoint(run)));
        fleet.rules.ended(id, run.task, run.number, how);
        notifyAll();
    }

    private String checkpoint(Run run) {
        boolean saves = fleet.stepSpec(run.task).path("checkpointing").asBoolean();
        if (!saves || run.worksFrom < 0 || fleet.record.now() - run.worksFrom < CHECKPOINT_MILLIS) {
            return run.startCheckpoint;
        }
        String saved = "c-" + Fleet.stepNameOf(run.task) + "-" + Fleet.indexOf(run.task) + "-" + run.number;
        fleet.rules.saved(run.task, saved);
        return saved;
    }

    private Http.Answer stop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        highestOver.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number && !run.stopping) {
            run.stopping = true;
            int boot = boots;
            Timer.after(fleet.stopMillis / 2, () -> {
                synchronized (this) {
                    if (boot == boots) {
                        end(run, "stopped");
                    }
                }
            });
        }
        return new Http.Answer(200, reply());
    }

    private Http.Answer hold(JsonNode body, boolean mayWait) throws InterruptedException {
        long seen = body.path("last_seen").asLong();
        if (body.has("until_ms")) {
            extend(body.path("until_ms").asLong());
        }
        for (End end : ends) {
            if (end.number <= seen) {
                fleet.rules.noted(id, end.task, end.run, end.how);
            }
        }
        ends.removeIf(end -> end.number <= seen);
        int boot = boots;
        long deadline = fleet.record.now() + Math.min(2_000, body.path("wait_ms").asLong());
        while (mayWait && ends.isEmpty() && up && boot == boots && fleet.record.now() < deadline) {
            wait(Math.max(1, deadline - fleet.record.now()));
        }
        if (!up || boot != boots) {
            return null;
        }
        ObjectNode reply = reply();
        ArrayNode list = reply.putArray("running");
        for (Run run : running.values()) {
            JsonNode step = fleet.stepSpec(run.task);
            long elapsed = run.worksFrom < 0 ? 0 : fleet.record.now() - run.worksFrom;
            long percent = step.path("long_running").asBoolean()
                    ? (elapsed > 300 ? 100 : 0) : Math.min(99, 100 * elapsed / Math.max(1, fleet.workMillis(run.task)));
            list.addArray().add(run.task).add(run.number).add(checkpoint(run)).add(percent)
                    .add(step.has("target_ms") ? 5 : run.cpu);
        }
        ArrayNode over = reply.putArray("finished");
        ends.stream().limit(500).forEach(end ->
                over.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(end.saved));
        return new Http.Answer(200, reply);
    }

    /** Returns the tasks that run now. */
    synchronized List<String> tasks() {
        return List.copyOf(running.keySet());
    }
}
