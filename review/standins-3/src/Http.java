import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server with JSON bodies on a free loopback port. */
final class Http {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    private Http() {}

    /** A request. */
    record Call(String method, String path, Map<String, String> query, String instance, JsonNode body) {}

    /** A response; without one the caller gets no answer. */
    record Answer(int status, JsonNode body) {}

    /** Handles a request; returns null for no answer. */
    interface Handler {
        Answer handle(Call call) throws InterruptedException;
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Starts a server and returns it. */
    static HttpServer serve(Handler handler) throws IOException {
        return serve(0, handler);
    }

    /** Starts a server on a port. */
    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> handle(exchange, handler));
        server.start();
        return server;
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String part : raw == null ? new String[0] : raw.split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
            JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
            Answer answer =
                    handler.handle(
                            new Call(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query,
                                    exchange.getRequestHeaders().getFirst("X-Damasktiller-Expected-Instance"),
                                    body));
            if (answer == null) {
                Thread.sleep(20_000);
                return;
            }
            byte[] out = answer.body() == null ? new byte[0] : JSON.writeValueAsBytes(answer.body());
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), out.length == 0 ? -1 : out.length);
            if (out.length > 0) {
                exchange.getResponseBody().write(out);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }
}
