package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A worker as PROTOCOL.md describes it. It guards its capacity, keeps leases on its own clock, and
 * lists ends until they are taken note of. A crash ends everything without a word.
 */
final class Worker {

    static final long HOLD_MAX_MILLIS = 6_000;

    static final long STOP_MILLIS = 200;

    static final long HEARTBEAT_MILLIS = 1_100;

    /** How long the other members of a gang take to learn that one has ended. */
    private static final long GANG_NEWS_MILLIS = 100;

    /** Says what a task needs, how long it works and how it ends. */
    interface Tasks {

        long LASTS = -1;

        /** Returns the cpu of a task, in thousandths of a core. */
        long cpu(String task);

        /** Returns how long a run works, in milliseconds, or LASTS. */
        long workMillis(Worker worker, String task, int run);

        /** Returns how a run that has worked ends. */
        default String end(Worker worker, String task, int run) {
            return "done";
        }

        /** Returns whether the runs of a task work only while all of its step are present. */
        default int gangSize(String task) {
            return 1;
        }
    }

    /** One run, as the worker saw it. */
    static final class Run {

        final String task;

        final int number;

        final String worker;

        final List<String> labels;

        final long startedMillis;

        volatile long endedMillis = -1;

        volatile String how = "";

        private boolean stopping;

        private boolean working;

        private ScheduledFuture<?> timer;

        Run(String task, int number, Worker worker, long startedMillis) {
            this.task = task;
            this.number = number;
            this.worker = worker.id;
            this.labels = worker.labels;
            this.startedMillis = startedMillis;
        }

        boolean isActive() {
            return endedMillis < 0;
        }
    }

    private record End(long number, Run run, String how) {}

    final String id;

    final String zone;

    private final Rig rig;

    private final Tasks tasks;

    private final ExecutorService threads;

    private final ScheduledExecutorService timers;

    private final int port;

    private final Map<String, Run> running = new LinkedHashMap<>();

    private final Map<String, Integer> highestEnded = new HashMap<>();

    private final List<End> ends = new ArrayList<>();

    private volatile List<String> labels;

    private volatile long cpu;

    private HttpServer server;

    private boolean up;

    private boolean registering;

    private long boot;

    private long born;

    private long bootedMillis;

    private long highestToken;

    private long leaseEnd;

    private long endNumber;

    private long sequence;

    private Future<?> heartbeat;

    Worker(Rig rig, String id, String zone, long cpu, List<String> labels, Tasks tasks) {
        this.rig = rig;
        this.id = id;
        this.zone = zone;
        this.cpu = cpu;
        this.labels = labels;
        this.tasks = tasks;
        this.threads = rig.threads;
        this.timers = rig.timers;
        this.port = Http.freePort();
        boot(true);
    }

    /** Starts the worker; its memory of a former boot is gone. */
    synchronized void boot(boolean reachesStore) {
        up = true;
        boot++;
        born = System.currentTimeMillis();
        bootedMillis = rig.recorder.now();
        highestToken = 0;
        leaseEnd = 0;
        endNumber = 0;
        sequence = 0;
        running.clear();
        ends.clear();
        highestEnded.clear();
        registering = reachesStore;
        server = Http.serve(port, threads, this::handle);
        rig.recorder.line("worker %s: up, boot %d, labels %s", id, boot, labels);
        heartbeat = timers.scheduleAtFixedRate(this::register, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Changes the kind of the next boot. */
    void nextKind(List<String> nextLabels) {
        labels = nextLabels;
    }

    /** Cuts or mends the path of the worker to the store. */
    synchronized void reachesStore(boolean reaches) {
        registering = reaches;
        rig.recorder.line("worker %s: %s the store", id, reaches ? "reaches" : "does not reach");
    }

    /** Ends the worker's process: everything that runs there is over and is never listed. */
    synchronized void crash() {
        up = false;
        heartbeat.cancel(false);
        server.stop(0);
        for (Run run : running.values()) {
            finish(run, "lost with the worker");
        }
        running.clear();
        rig.recorder.line("worker %s: crashes", id);
        notifyAll();
    }

    /** Removes the entry, as the platform does after three intervals of silence. */
    void unregister() {
        rig.store.remove("servers/" + id);
        rig.recorder.line("worker %s: its entry is removed", id);
    }

    synchronized boolean isUp() {
        return up;
    }

    synchronized long freeCpu() {
        return cpu - running.keySet().stream().mapToLong(tasks::cpu).sum();
    }

    private void register() {
        ObjectNode entry;
        synchronized (this) {
            if (!up || !registering) {
                return;
            }
            entry =
                    Http.object()
                            .put("service", Rig.SERVICE)
                            .put("address", "127.0.0.1:" + port)
                            .put("zone", zone)
                            .put("version", "v1")
                            .put("slots", 8)
                            .put("state", "ready")
                            .put("cold_remaining_ms", 0)
                            .put("clock_ms", clock())
                            .put("born", born)
                            .put("sequence", ++sequence);
            entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 64_000).put("gpu", 0);
            ArrayNode names = entry.putArray("labels");
            labels.forEach(names::add);
        }
        rig.store.put("servers/" + id, entry);
    }

    private long clock() {
        return rig.recorder.now() - bootedMillis;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String expected =
                exchange.getRequestHeaders().getFirst("X-Damasktiller-Expected-Instance");
        JsonNode body = Http.body(exchange);
        int status;
        ObjectNode answer = Http.object();
        synchronized (this) {
            if (!up) {
                exchange.close();
                return;
            }
            long token = body.path("fencing_token").asLong();
            if (path.equals("/health")) {
                status = 200;
            } else if (expected != null && !expected.equals(id)) {
                status = 421;
            } else if (token < highestToken) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                highestToken = token;
                status = carryOut(path, body, answer);
            }
            answer.put("clock_ms", clock()).put("born", born);
        }
        Http.answer(exchange, status, answer);
    }

    private int carryOut(String path, JsonNode body, ObjectNode answer) {
        switch (path) {
            case "/api/run-start":
                String reason = start(body);
                if (!reason.isEmpty()) {
                    answer.put("reason", reason);
                    rig.recorder.line(
                            "worker %s: refuses %s run %d: %s",
                            id, body.path("task").asText(), body.path("run").asInt(), reason);
                }
                return reason.isEmpty() ? 200 : 409;
            case "/api/run-stop":
                stop(body.path("task").asText(), body.path("run").asInt());
                return 200;
            case "/api/hold":
                hold(body, answer);
                return 200;
            case "/api/pace":
                return 200;
            default:
                return 404;
        }
    }

    private String start(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run present = running.get(task);
        if (present != null && present.number == number) {
            return "";
        }
        long until = body.path("until_ms").asLong();
        if (until <= clock()) {
            return "late";
        }
        extendLease(until);
        if (present != null || number <= highestEnded.getOrDefault(task, 0)) {
            return "old";
        }
        if (freeCpu() < tasks.cpu(task)) {
            return "room";
        }
        Run run = new Run(task, number, this, rig.recorder.now());
        running.put(task, run);
        rig.runs.add(run);
        if (!rig.quiet) {
            rig.recorder.line(
                    "worker %s: starts %s run %d, token %d", id, task, number, highestToken);
        }
        beginWork(run);
        return "";
    }

    private void beginWork(Run run) {
        if (tasks.gangSize(run.task) > 1) {
            String step = run.task.substring(0, run.task.lastIndexOf('.'));
            List<Run> present =
                    rig.runs.stream()
                            .filter(Run::isActive)
                            .filter(other -> other.task.startsWith(step + "."))
                            .filter(other -> other.number == run.number)
                            .toList();
            if (present.size() < tasks.gangSize(run.task)) {
                run.timer =
                        timers.schedule(
                                () -> end(run, "alone"), Rig.GANG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            for (Run member : present) {
                rig.worker(member.worker).work(member);
            }
        } else {
            work(run);
        }
    }

    private void work(Run run) {
        if (run.timer != null) {
            run.timer.cancel(false);
        }
        run.working = true;
        long workMillis = tasks.workMillis(this, run.task, run.number);
        if (workMillis != Tasks.LASTS) {
            run.timer =
                    timers.schedule(
                            () -> end(run, tasks.end(this, run.task, run.number)),
                            workMillis,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void stop(String task, int number) {
        highestEnded.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= number && !run.stopping) {
            run.stopping = true;
            timers.schedule(() -> end(run, "stopped"), STOP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void hold(JsonNode body, ObjectNode answer) {
        long seen = body.path("last_seen").asLong();
        ends.removeIf(end -> end.number <= seen);
        if (body.has("until_ms")) {
            extendLease(body.path("until_ms").asLong());
        }
        long token = highestToken;
        long bootNow = boot;
        long endsAtMillis =
                rig.recorder.now() + Math.min(2_000, body.path("wait_ms").asLong());
        while (up && boot == bootNow && ends.isEmpty()) {
            long left = endsAtMillis - rig.recorder.now();
            if (left <= 0) {
                break;
            }
            try {
                wait(left);
            } catch (InterruptedException exception) {
                break;
            }
        }
        ArrayNode active = answer.putArray("running");
        for (Run run : running.values()) {
            long workMillis = tasks.workMillis(this, run.task, run.number);
            long percent =
                    workMillis == Tasks.LASTS
                            ? 100
                            : Math.min(
                                    99,
                                    100 * (rig.recorder.now() - run.startedMillis)
                                            / Math.max(1, workMillis));
            active.addArray()
                    .add(run.task)
                    .add(run.number)
                    .add("")
                    .add(run.working ? percent : 0)
                    .add(tasks.cpu(run.task));
        }
        ArrayNode finished = answer.putArray("finished");
        for (End end : ends.subList(0, Math.min(500, ends.size()))) {
            finished.addArray()
                    .add(end.number)
                    .add(end.run.task)
                    .add(end.run.number)
                    .add(end.how)
                    .add("");
        }
    }

    private void extendLease(long until) {
        long end = Math.min(until, clock() + HOLD_MAX_MILLIS);
        if (end > leaseEnd) {
            leaseEnd = end;
            long bootNow = boot;
            timers.schedule(
                    () -> lapse(bootNow), leaseEnd - clock() + 1, TimeUnit.MILLISECONDS);
        }
    }

    private synchronized void lapse(long ofBoot) {
        if (up && boot == ofBoot && clock() >= leaseEnd) {
            for (Run run : List.copyOf(running.values())) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        synchronized (this) {
            if (!up || running.get(run.task) != run) {
                return;
            }
            running.remove(run.task);
            highestEnded.merge(run.task, run.number, Math::max);
            ends.add(new End(++endNumber, run, how));
            finish(run, how);
            notifyAll();
        }
        if (tasks.gangSize(run.task) > 1 && !how.equals("done") && !how.equals("broken")) {
            timers.schedule(() -> breakGang(run), GANG_NEWS_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the other members of a gang after one of them has ended. */
    private void breakGang(Run ended) {
        String step = ended.task.substring(0, ended.task.lastIndexOf('.') + 1);
        for (Run member : rig.runs) {
            if (member.isActive()
                    && member.number == ended.number
                    && member.task.startsWith(step)) {
                rig.worker(member.worker).end(member, "broken");
            }
        }
    }

    private void finish(Run run, String how) {
        run.endedMillis = rig.recorder.now();
        run.how = how;
        if (!rig.quiet) {
            rig.recorder.line("worker %s: %s run %d is %s", id, run.task, run.number, how);
        }
    }
}
