import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** A small deployment with the stand-ins of the platform, for one case. */
final class Scene {

    /** The path prefix of the queue. */
    static final String QUEUE = "/q1/";

    /** The exit code of a case that couldn't run. */
    static final int NOT_RUN = 2;

    private static final long READY_MILLIS = 25_000;

    final Record record;
    final Store store;
    final Fleet fleet;
    final Nodes nodes;
    final Clients clients;

    /** Whether the disruption is played. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private int submissions;

    Scene(String folder, int machines, String... zones) throws IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        record = new Record(Path.of(folder, "record.txt"));
        store = new Store();
        fleet = new Fleet(record, store);
        nodes = new Nodes(record, store, machines, zones);
        clients = new Clients(record, nodes, 1);
        record.add("settings and logs in %s, trouble %s", nodes.folder(), trouble);
        Timer.after(
                110_000,
                () -> {
                    record.add("out of time");
                    nodes.stop();
                    Runtime.getRuntime().halt(NOT_RUN);
                });
    }

    /** Adds a worker. */
    Worker worker(String id, String zone, long cpu, String... labels) throws IOException {
        Worker worker = new Worker(id, fleet, zone, cpu, List.of(labels));
        fleet.workers.put(id, worker);
        return worker;
    }

    /** Writes the manifest, starts the machines, and waits until each of them serves. */
    void start() throws IOException {
        store.write("op/config", manifest());
        nodes.start();
        long end = record.now() + READY_MILLIS;
        while (!nodes.all.stream().allMatch(node -> clients.send(node, "GET", QUEUE, null).status() == 200)) {
            if (record.now() > end) {
                exit(NOT_RUN, "the machines don't serve");
            }
            Clients.pause(200);
        }
        Clients.pause(3_000);
        record.add("all machines serve");
    }

    private static ObjectNode manifest() {
        ObjectNode manifest = Http.object().put("version", 1);
        manifest.putArray("routes").addObject().put("name", "r-1").put("host", Clients.HOST).put("path_prefix", QUEUE)
                .put("kind", "unsafe").put("timeout_ms", 3_000).put("target_latency_ms", 1_000).put("priority", 0)
                .put("service", Fleet.SERVICE).put("max_attempts", 2).put("extension", 2.0);
        manifest.putArray("services").addObject().put("name", Fleet.SERVICE).put("health_path", "/health")
                .put("max_connections", 64).put("protocol", "h1").put("tls", false).put("enforces_capacity", true)
                .put("headroom", false);
        manifest.putObject("limits").put("max_header_bytes", 16_384).put("max_body_bytes", 262_144)
                .put("header_timeout_ms", 3_000).put("idle_timeout_ms", 15_000);
        return manifest;
    }

    /** Creates a submission without steps. */
    Submission submission() {
        submissions++;
        Submission submission = new Submission(String.format("%016x", 0xa11c0000L + submissions), "text", Http.JSON.createArrayNode());
        fleet.submissions.put(submission.id, submission);
        return submission;
    }

    /** Adds a step to a submission. */
    static ObjectNode step(ArrayNode steps, int count, int cpu, int millis) {
        return steps.addObject().put("count", count).put("cpu", cpu).put("mem_mb", 256).put("estimate_ms", millis);
    }

    /** Ends all processes with the outcome of the case. */
    void exit(int code, String reason) {
        record.add("over: %s; broken rules: %s", reason, fleet.rules.counts());
        nodes.stop();
        System.out.println(reason + "; broken rules: " + fleet.rules.counts());
        Runtime.getRuntime().halt(code);
    }
}
