package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A small deployment: the store, the workers and the clients are stand-ins in this process, the
 * entry VMs are the project's own program, started by the command of the deploy file.
 */
final class Rig implements AutoCloseable {

    static final String SERVICE = "huvo11a";

    static final String HOST = "nony24.example";

    static final long GANG_TIMEOUT_MILLIS = 3_000;

    static final long CANCEL_MILLIS = 3_000;

    static final long CONTACT_MILLIS = 4_000;

    static final long FINISH_MILLIS = 14_000;

    /** The case could not run. */
    static final class NotRun extends RuntimeException {

        private static final long serialVersionUID = 1L;

        NotRun(String message) {
            super(message);
        }
    }

    /** What a client was answered; 0 if there was no answer. */
    record Answer(int status, String body) {}

    /** An entry VM. */
    final class Vm {

        final String name;

        final Path log;

        private final Path settings;

        private final int callerPort = Http.freePort();

        private final int readinessPort = Http.freePort();

        private final int peerPort = Http.freePort();

        private final int storePort = store.openPort();

        private Process process;

        Vm(String name, String zone) {
            this.name = name;
            this.log = directory.resolve(name + ".log");
            this.settings = directory.resolve(name + ".conf");
            List<String> lines = new ArrayList<>();
            lines.add("node_name=" + name);
            lines.add("role=entry");
            lines.add("machine_class=frontend");
            lines.add("serves=frontend");
            lines.add("ip=127.0.0.1");
            lines.add("zone=" + zone);
            lines.add("region=leinster");
            ZONES.forEach(other -> lines.add("zones." + other + "=leinster"));
            lines.add("listen_addresses.frontend=127.0.0.1:" + callerPort);
            lines.add("listen_addresses.readiness=127.0.0.1:" + readinessPort);
            lines.add("internal_ports=" + peerPort + "," + peerPort);
            lines.add("seeds=");
            lines.add("bootstrap=true");
            lines.add("failure_counted=false");
            lines.add("limits.cpu_share=0.75");
            lines.add("limits.cores=1");
            lines.add("limits.memory_mb=430");
            lines.add("limits.max_fds=4100");
            lines.add("limits.link_mbps=1000.0");
            lines.add("limits.disk_mb=0");
            lines.add("discovery=platform");
            lines.add("entry=vip");
            lines.add("heartbeat_ms=" + Worker.HEARTBEAT_MILLIS);
            lines.add(
                    "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing");
            lines.add("fault_tolerance.machines=2");
            lines.add("fault_tolerance.zones=0");
            lines.add("fault_tolerance.regions=0");
            Map<String, String> bounds =
                    Map.ofEntries(
                            Map.entry("seed_lag_s", "3"),
                            Map.entry("reuse_after_s", "2"),
                            Map.entry("contact_ms", Long.toString(CONTACT_MILLIS)),
                            Map.entry("ack_ms", "5000"),
                            Map.entry("catch_up_s", "4"),
                            Map.entry("drain_ms", "3000"),
                            Map.entry("grace_s", "6"),
                            Map.entry("loss_slack_ms", "200"),
                            Map.entry("config_apply_ms", "3000"),
                            Map.entry("rollback_slack_ms", "250"),
                            Map.entry("max_skew_ms", "6000"),
                            Map.entry("recovery_s", "12"),
                            Map.entry("hold_max_ms", Long.toString(Worker.HOLD_MAX_MILLIS)),
                            Map.entry("stop_ms", Long.toString(Worker.STOP_MILLIS)),
                            Map.entry("gang_timeout_ms", Long.toString(GANG_TIMEOUT_MILLIS)),
                            Map.entry("cancel_ms", Long.toString(CANCEL_MILLIS)),
                            Map.entry("visible_ms", "3000"),
                            Map.entry("early_ms", "250"),
                            Map.entry("finish_s", Long.toString(FINISH_MILLIS / 1000)),
                            Map.entry("status_s", "120"),
                            Map.entry("remote_factor", "3"),
                            Map.entry("checkpoint_s", "2"),
                            Map.entry("restore_ms", "600"),
                            Map.entry("notice_ms", "5500"),
                            Map.entry("move_s", "1.5"),
                            Map.entry("maintenance_s", "2"),
                            Map.entry("fencing_enforced", "false"),
                            Map.entry("lease_ms", "3000"),
                            Map.entry("thaw_ms", "300"),
                            Map.entry("rate_window_ms", "100"),
                            Map.entry("impact_ms", "4000"));
            bounds.forEach((key, value) -> lines.add("bounds." + key + "=" + value));
            lines.add("orders=call");
            lines.add("platform.address=127.0.0.1:" + storePort);
            lines.add("platform.form=kv");
            lines.add("platform.writes_per_s=400");
            lines.add("platform.reads_per_s=2000");
            lines.add("platform.history_s=20");
            lines.add("platform.value_bytes=" + Store.VALUE_BYTES);
            lines.add("platform.ttl_min_ms=1000");
            try {
                Files.write(settings, lines);
            } catch (IOException exception) {
                throw new NotRun(exception.toString());
            }
        }

        void start() {
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment()
                    .keySet()
                    .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("DAMASKTILLER_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            try {
                process = builder.start();
            } catch (IOException exception) {
                throw new NotRun(exception.toString());
            }
            recorder.line("VM %s: started", name);
        }

        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (IOException | InterruptedException exception) {
                throw new NotRun(exception.toString());
            }
            recorder.line("VM %s: SIG%s", name, signal);
        }

        /** Lets the store leave the calls of this VM unanswered, or answer them again. */
        void storeSilent(boolean silent) {
            store.silent(storePort, silent);
            recorder.line("store: %s the calls of %s", silent ? "leaves unanswered" : "answers", name);
        }

        boolean isAlive() {
            return process.isAlive();
        }

        boolean isReady() {
            return send(readinessPort, "GET", "/api/ready", null, 1_000).status == 200;
        }

        /** Returns whether this VM was the last one that said it owns the cell. */
        private long ownerSince() {
            long since = -1;
            try {
                for (String line : Files.readAllLines(log)) {
                    if (line.contains("\"event\":\"owner.began\"")) {
                        since = Http.JSON.readTree(line).path("time").asLong();
                    }
                }
            } catch (IOException exception) {
                return -1;
            }
            return since;
        }
    }

    private static final List<String> ZONES = List.of("leinster-dub", "leinster-kil");

    final Path root;

    final Path directory;

    final Recorder recorder;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);

    final Store store;

    final List<Worker> workers = new ArrayList<>();

    final List<Worker.Run> runs = new java.util.concurrent.CopyOnWriteArrayList<>();

    final List<Vm> vms = new ArrayList<>();

    /** Whether starts and ends are left out of the record. */
    boolean quiet;

    private final List<String> command;

    private final HttpClient client;

    private long manifestVersion;

    Rig(Path caseDirectory) throws IOException {
        root = caseDirectory.resolve("../..").toRealPath();
        directory = Files.createTempDirectory("review");
        recorder = new Recorder(caseDirectory.resolve("record.txt"));
        command = readCommand();
        if (!Files.exists(root.resolve("damasktiller-node/target/lib"))) {
            throw new NotRun("the project is not built");
        }
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        store = new Store(recorder, threads, timers);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private List<String> readCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new NotRun("the deploy file has no command");
    }

    Worker worker(String id) {
        return workers.stream().filter(worker -> worker.id.equals(id)).findFirst().orElseThrow();
    }

    /** Adds a worker. */
    Worker addWorker(String id, long cpu, List<String> labels, Worker.Tasks tasks) {
        Worker worker =
                new Worker(this, id, ZONES.get(workers.size() % ZONES.size()), cpu, labels, tasks);
        workers.add(worker);
        return worker;
    }

    /** Starts the entry VMs and waits until they take requests. */
    void startVms(int count) {
        for (int number = 1; number <= count; number++) {
            Vm vm = new Vm("frontend-" + number, ZONES.get(number % ZONES.size()));
            vms.add(vm);
            vm.start();
        }
        await(20_000, "the VMs are ready", () -> vms.stream().allMatch(Vm::isReady));
        await(20_000, "the cell has an owner", () -> owner() != null);
        sleep(1_500);
    }

    /** Returns the VM that owns the cell, or null. */
    Vm owner() {
        Vm latest = null;
        long since = -1;
        for (Vm vm : vms) {
            long began = vm.ownerSince();
            if (began > since) {
                since = began;
                latest = vm;
            }
        }
        return latest;
    }

    /** Returns a VM that does not own the cell. */
    Vm other(Vm vm) {
        return vms.stream().filter(each -> each != vm).findFirst().orElseThrow();
    }

    /** Publishes a manifest; each queue is a row of name, path prefix and attempts. */
    void publish(List<Object[]> queues) {
        ObjectNode body = Http.object().put("version", manifestVersion += 3);
        ArrayNode routes = body.putArray("routes");
        for (Object[] queue : queues) {
            routes.addObject()
                    .put("name", (String) queue[0])
                    .put("host", HOST)
                    .put("path_prefix", (String) queue[1])
                    .put("kind", "unsafe")
                    .put("timeout_ms", 3_000)
                    .put("target_latency_ms", 600)
                    .put("priority", 0)
                    .put("service", SERVICE)
                    .put("max_attempts", (int) queue[2])
                    .put("extension", 1.5);
        }
        body.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("health_path", "/health")
                .put("max_connections", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("enforces_capacity", true)
                .put("headroom", false);
        body.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 262_144)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", 15_000);
        store.put("op/config", body);
        recorder.line(
                "operator: manifest %d with %s",
                manifestVersion, queues.stream().map(queue -> queue[0]).toList());
    }

    /** Sends a request of a client to a VM. */
    Answer call(Vm vm, String method, String path, ObjectNode body) {
        recorder.line(
                "client: %s %s to %s%s", method, path, vm.name, body == null ? "" : " " + cut(body));
        Answer answer = send(vm.callerPort, method, path, body, 3_000);
        recorder.line(
                "client: %s %s is answered %s %s",
                method,
                path,
                answer.status == 0 ? "nothing" : Integer.toString(answer.status),
                answer.body);
        return answer;
    }

    private static String cut(ObjectNode body) {
        String text = body.toString();
        return text.length() <= 300 ? text : text.substring(0, 300) + "...";
    }

    private Answer send(int port, String method, String path, ObjectNode body, long millis) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                        .timeout(Duration.ofMillis(millis))
                        .header("Host", HOST)
                        .header("Content-Type", "application/json")
                        .header("X-Damasktiller-Deadline-Ms", Long.toString(millis))
                        .method(
                                method,
                                body == null
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body.toString()))
                        .build();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException exception) {
            return new Answer(0, "");
        } catch (InterruptedException exception) {
            throw new NotRun(exception.toString());
        }
    }

    /** Waits for a condition without which the case can't run. */
    void await(long millis, String what, BooleanSupplier condition) {
        if (!poll(millis, condition)) {
            throw new NotRun("waited in vain: " + what);
        }
    }

    /** Waits for a condition, and returns whether it came true. */
    boolean poll(long millis, BooleanSupplier condition) {
        long end = recorder.now() + millis;
        while (!condition.getAsBoolean()) {
            if (recorder.now() > end) {
                return false;
            }
            sleep(50);
        }
        return true;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new NotRun(exception.toString());
        }
    }

    /** Returns the runs of a task or of a submission, in the order of their starts. */
    List<Worker.Run> runsOf(String prefix) {
        List<Worker.Run> found = new ArrayList<>();
        runs.stream().filter(run -> run.task.startsWith(prefix)).forEach(found::add);
        return Collections.unmodifiableList(found);
    }

    private void killAll() {
        for (Vm vm : vms) {
            if (vm.process != null) {
                vm.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() {
        killAll();
        timers.shutdownNow();
        recorder.close();
        try (var files = Files.list(directory)) {
            if (System.getenv("KEEP_LOGS") == null) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
                Files.delete(directory);
            } else {
                System.err.println("logs: " + directory);
            }
        } catch (IOException exception) {
            System.err.println(exception);
        }
    }

    /** A case: returns whether the rule held. */
    interface Case {

        boolean run(Rig rig) throws Exception;
    }

    /** Runs a case and ends this process: 0 if the rule held, 1 if it was broken, 2 if not run. */
    static void main(String directory, Case script) {
        int code;
        try (Rig rig = new Rig(Path.of(directory))) {
            try {
                boolean held = script.run(rig);
                code = held ? 0 : 1;
                rig.recorder.line("verdict: the rule %s", held ? "held" : "was broken");
            } catch (Exception exception) {
                rig.recorder.line("verdict: not run: %s", exception);
                exception.printStackTrace();
                code = 2;
            }
        } catch (Exception exception) {
            exception.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
