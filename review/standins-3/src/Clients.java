import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;

/** Clients, after "Submissions" of PROTOCOL.md: attempts reach any machine that is up. */
final class Clients {

    static final String HOST = "nony24.example";

    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private final Record record;
    private final Nodes nodes;
    private final Random random;

    Clients(Record record, Nodes nodes, long seed) {
        this.record = record;
        this.nodes = nodes;
        this.random = new Random(seed);
    }

    /** A response, with status 0 if there was none. */
    record Reply(int status, JsonNode body) {}

    /** Sends a request to a machine. */
    Reply send(Nodes.Node node, String method, String path, JsonNode body) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.callers + path))
                    .timeout(Duration.ofSeconds(3)).header("Content-Type", "application/json")
                    .header("X-Damasktiller-Deadline-Ms", "3000").header("Host", HOST)
                    .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofByteArray(Http.JSON.writeValueAsBytes(body)))
                    .build();
            HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            JsonNode answer = response.body().length == 0 ? Http.object() : Http.JSON.readTree(response.body());
            return new Reply(response.statusCode(), answer);
        } catch (IOException exception) {
            return new Reply(0, Http.object());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Reply(0, Http.object());
        }
    }

    synchronized Nodes.Node anyNode() {
        List<Nodes.Node> up = nodes.all.stream().filter(node -> node.process != null && node.process.isAlive()).toList();
        return up.isEmpty() ? nodes.all.get(0) : up.get(random.nextInt(up.size()));
    }

    /** Hands a submission in, with up to some attempts under its identifier. Returns the last status. */
    int submit(Submission submission, String prefix, int attempts) {
        int status = 0;
        for (int attempt = 0; attempt < attempts; attempt++) {
            Nodes.Node node = anyNode();
            Reply reply = send(node, "POST", prefix + submission.id, submission.body());
            status = reply.status;
            record.add("client: POST %s at %s: %d", submission.id, node.name, status);
            if (status >= 200 && status < 300) {
                submission.acceptedAt = record.now();
                return status;
            }
            if (status == 404 || status == 400) {
                return status;
            }
            pause(200);
        }
        return status;
    }

    /** Asks for the state of a submission. Returns it, or the status. */
    String state(Submission submission, String prefix) {
        Nodes.Node node = anyNode();
        Reply reply = send(node, "GET", prefix + submission.id, null);
        String state = reply.status == 200 ? reply.body.path("state").asText() : Integer.toString(reply.status);
        if (!state.equals(submission.state)) {
            record.add("client: GET %s at %s: %s", submission.id, node.name, state);
        }
        submission.state = state;
        return state;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
