package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadLocalRandom;

/** JSON over HTTP for the stand-ins. */
final class Http {

    static final ObjectMapper JSON = new ObjectMapper();

    private static final int LOWEST_PORT = 12_000;

    private static final int HIGHEST_PORT = 32_000;

    private Http() {}

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Starts a server on a loopback port; port 0 takes a free one. */
    static HttpServer serve(int port, ExecutorService threads, HttpHandler handler) {
        try {
            HttpServer server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 0);
            server.setExecutor(threads);
            server.createContext(
                    "/",
                    exchange -> {
                        try {
                            handler.handle(exchange);
                        } catch (RuntimeException exception) {
                            exception.printStackTrace();
                            throw exception;
                        }
                    });
            server.start();
            return server;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Finds a free loopback port below those that outgoing connections take. */
    static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException exception) {
                continue;
            }
        }
    }

    static JsonNode body(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        return bytes.length == 0 ? MissingNode.getInstance() : JSON.readTree(bytes);
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String pair : query.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    values.put(
                            pair.substring(0, equals),
                            java.net.URLDecoder.decode(
                                    pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        }
        return values;
    }

    static void answer(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        if (body == null) {
            exchange.sendResponseHeaders(status, -1);
        } else {
            byte[] bytes = JSON.writeValueAsBytes(body);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }
}
