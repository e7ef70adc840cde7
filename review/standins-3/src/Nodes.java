import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The system's own processes, started with the command of the deploy file. */
final class Nodes {

    /** After how long a process that has ended is started again. */
    private static final long RESTART_MILLIS = 300;

    private static final int LOWEST_PORT = 12_000;
    private static final int HIGHEST_PORT = 32_000;

    /** A machine of the system. */
    final class Node {
        final int number;
        final String name;
        final int callers = port();
        final int readiness = port();
        final int peer = port();
        final int storePort;
        final Path settings;
        volatile Process process;
        int boots;

        /** How often a process of the machine has ended by itself. */
        volatile int ownEnds;

        Node(int number, int storePort) throws IOException {
            this.number = number;
            this.name = "frontend-" + number;
            this.storePort = storePort;
            this.settings = folder.resolve(name + ".conf");
        }

        synchronized void start() {
            if (stopped) {
                return;
            }
            try {
                boots++;
                Files.writeString(settings, settings(this));
                ProcessBuilder builder = new ProcessBuilder(command);
                builder.environment().put("DAMASKTILLER_BOOT", settings.toString());
                builder.redirectErrorStream(true);
                builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
                process = builder.start();
                record.add("machine %s: process %d started", name, process.pid());
                Process started = process;
                started.onExit().thenAccept(over -> {
                    record.add("machine %s: process %d ended with %d", name, over.pid(), over.exitValue());
                    if (!stopped && process == over) {
                        ownEnds++;
                        Timer.after(RESTART_MILLIS, this::start);
                    }
                });
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }
    }

    final List<Node> all = new ArrayList<>();
    private final Record record;
    private final Path folder;
    private final List<String> command;
    private final String[] zones;

    /** The processor time of a machine, in thousandths of a core. */
    int cpuMillis = 750;

    private volatile boolean stopped;

    Nodes(Record record, Store store, int count, String... zones) throws IOException {
        this.record = record;
        this.zones = zones;
        this.folder = Files.createTempDirectory("review-3-");
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        this.command = Arrays.asList(run.group(1).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        int storePort = store.listen();
        for (int number = 0; number < count; number++) {
            all.add(new Node(number, storePort));
        }
    }

    void start() {
        all.forEach(Node::start);
    }

    /** Ends all processes. */
    void stop() {
        stopped = true;
        for (Node node : all) {
            synchronized (node) {
                Process process = node.process;
                if (process != null) {
                    process.destroyForcibly();
                    try {
                        process.waitFor();
                    } catch (InterruptedException exception) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        }
    }

    /** Returns the folder with the settings and logs. */
    Path folder() {
        return folder;
    }

    /** Returns a free port outside the range from which the system chooses ports itself. */
    private static int port() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException exception) {
                // Another one is tried.
            }
        }
    }

    private String settings(Node node) {
        String zone = zones[node.number % zones.length];
        List<String> lines = new ArrayList<>(List.of(
                "node_name=" + node.name, "role=entry", "machine_class=frontend", "serves=frontend",
                "ip=127.0.0.1", "zone=" + zone, "region=r1",
                "listen_addresses.frontend=127.0.0.1:" + node.callers,
                "listen_addresses.readiness=127.0.0.1:" + node.readiness,
                "internal_ports=" + node.peer + "," + node.peer, "seeds=", "bootstrap=" + (node.boots <= 1),
                "failure_counted=false", "limits.cpu_share=" + cpuMillis / 1000.0, "limits.cores=1", "limits.memory_mb=430",
                "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip",
                "heartbeat_ms=1100", "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
                "fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
                "bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000",
                "bounds.catch_up_s=4", "bounds.drain_ms=3000", "bounds.grace_s=6", "bounds.loss_slack_ms=200",
                "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250", "bounds.max_skew_ms=6000",
                "bounds.recovery_s=12", "bounds.hold_max_ms=6000", "bounds.stop_ms=200", "bounds.gang_timeout_ms=3000",
                "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
                "bounds.status_s=120", "bounds.remote_factor=3", "bounds.checkpoint_s=2", "bounds.restore_ms=600",
                "bounds.notice_ms=5500", "bounds.move_s=1.5", "bounds.maintenance_s=2", "bounds.fencing_enforced=false",
                "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.rate_window_ms=100", "bounds.impact_ms=4000",
                "orders=call", "advice=", "platform.address=127.0.0.1:" + node.storePort, "platform.form=kv",
                "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
                "platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "cloud.address=127.0.0.1:9",
                "cloud.rate_per_s=60.0", "cloud.duties=", "cloud.duty_per_s=60.0"));
        for (String name : zones) {
            lines.add("zones." + name + "=r1");
        }
        return String.join("\n", lines) + "\n";
    }
}
