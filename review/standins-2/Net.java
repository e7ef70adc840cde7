import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback, and JSON. */
final class Net {

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private Net() {}

    /** A request as it was received. */
    record Request(
            String method,
            String path,
            Map<String, String> query,
            Map<String, String> headers,
            String body) {

        Map<String, Object> json() {
            return Json.object(body);
        }
    }

    /** A response; a null one means that the connection is closed without an answer. */
    record Response(int status, String body) {}

    /** Handles a request on a thread of its connection. */
    interface Handler {
        Response handle(Request request) throws InterruptedException;
    }

    /** A server that can be shut down with all of its connections. */
    static final class Server {
        private final ServerSocket socket = new ServerSocket();
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private final Handler handler;
        private volatile boolean closed;

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(LOOPBACK, port), 200);
            thread("accept-" + port, this::accept);
        }

        int port() {
            return socket.getLocalPort();
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    thread("connection", () -> serve(connection));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (!closed) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    Response response = handler.handle(request);
                    if (response == null || closed) {
                        return;
                    }
                    byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
                    String head =
                            "HTTP/1.1 "
                                    + response.status()
                                    + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                    + body.length
                                    + "\r\n\r\n";
                    ByteArrayOutputStream whole = new ByteArrayOutputStream();
                    whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    whole.write(body);
                    out.write(whole.toByteArray());
                    out.flush();
                }
            } catch (IOException | InterruptedException exception) {
                return;
            } finally {
                connections.remove(connection);
            }
        }

        /** Stops listening and closes the connections, as the end of a process does. */
        void close() {
            closed = true;
            try {
                socket.close();
                for (Socket connection : connections) {
                    connection.close();
                }
            } catch (IOException exception) {
                throw new IllegalStateException(exception);
            }
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        String body = readBody(in, headers, 0);
        String target = words[1];
        if (target.startsWith("http://")) {
            target = target.substring(target.indexOf('/', 7));
        }
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    query.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(
                                    pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            target = target.substring(0, mark);
        }
        return new Request(words[0], target, query, headers, body);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String readBody(InputStream in, Map<String, String> headers, int otherwise)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.getOrDefault("transfer-encoding", ""))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                all.write(readFully(in, size));
                readLine(in);
                if (size == 0) {
                    return all.toString(StandardCharsets.UTF_8);
                }
            }
        }
        String length = headers.get("content-length");
        int size = length == null ? otherwise : Integer.parseInt(length);
        return new String(readFully(in, size), StandardCharsets.UTF_8);
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException();
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(next);
        }
        return null;
    }

    /**
     * Sends a request on a connection of its own.
     *
     * @return the response, or null if there was none in time
     */
    static Response call(
            int port, String method, String host, String path, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + host
                            + "\r\nContent-Type: application/json\r\nX-Damasktiller-Deadline-Ms: "
                            + timeoutMillis
                            + "\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
            whole.write(bytes);
            socket.getOutputStream().write(whole.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = readLine(in);
            if (status == null) {
                return null;
            }
            String text = readBody(in, readHeaders(in), 0);
            return new Response(Integer.parseInt(status.split(" ")[1]), text);
        } catch (IOException | RuntimeException exception) {
            return null;
        }
    }

    static Thread thread(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and null. */
    static final class Json {
        private final String text;
        private int at;

        private Json(String text) {
            this.text = text;
        }

        @SuppressWarnings("unchecked")
        static Map<String, Object> object(String text) {
            return text.isBlank() ? new HashMap<>() : (Map<String, Object>) new Json(text).value();
        }

        private char peek() {
            while (Character.isWhitespace(text.charAt(at))) {
                at++;
            }
            return text.charAt(at);
        }

        private Object value() {
            switch (peek()) {
                case '{' -> {
                    Map<String, Object> map = new LinkedHashMap<>();
                    at++;
                    while (peek() != '}') {
                        String key = string();
                        peek();
                        at++;
                        map.put(key, value());
                        if (peek() == ',') {
                            at++;
                        }
                    }
                    at++;
                    return map;
                }
                case '[' -> {
                    List<Object> list = new ArrayList<>();
                    at++;
                    while (peek() != ']') {
                        list.add(value());
                        if (peek() == ',') {
                            at++;
                        }
                    }
                    at++;
                    return list;
                }
                case '"' -> {
                    return string();
                }
                default -> {
                    int start = at;
                    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
                        at++;
                    }
                    String word = text.substring(start, at);
                    return switch (word) {
                        case "true" -> true;
                        case "false" -> false;
                        case "null" -> null;
                        default ->
                                word.matches("-?[0-9]+")
                                        ? (Object) Long.parseLong(word)
                                        : (Object) Double.parseDouble(word);
                    };
                }
            }
        }

        private String string() {
            peek();
            at++;
            StringBuilder out = new StringBuilder();
            while (text.charAt(at) != '"') {
                char next = text.charAt(at++);
                if (next == '\\') {
                    char escaped = text.charAt(at++);
                    switch (escaped) {
                        case 'n' -> out.append('\n');
                        case 't' -> out.append('\t');
                        case 'r' -> out.append('\r');
                        case 'b' -> out.append('\b');
                        case 'f' -> out.append('\f');
                        case 'u' -> {
                            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                            at += 4;
                        }
                        default -> out.append(escaped);
                    }
                } else {
                    out.append(next);
                }
            }
            at++;
            return out.toString();
        }

        static String write(Object value) {
            StringBuilder out = new StringBuilder();
            write(value, out);
            return out.toString();
        }

        private static void write(Object value, StringBuilder out) {
            if (value instanceof Map<?, ?> map) {
                out.append('{');
                String separator = "";
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    out.append(separator);
                    write(entry.getKey().toString(), out);
                    out.append(':');
                    write(entry.getValue(), out);
                    separator = ",";
                }
                out.append('}');
            } else if (value instanceof List<?> list) {
                out.append('[');
                String separator = "";
                for (Object item : list) {
                    out.append(separator);
                    write(item, out);
                    separator = ",";
                }
                out.append(']');
            } else if (value instanceof String string) {
                out.append('"');
                for (char next : string.toCharArray()) {
                    if (next == '"' || next == '\\') {
                        out.append('\\').append(next);
                    } else if (next < ' ') {
                        out.append(String.format("\\u%04x", (int) next));
                    } else {
                        out.append(next);
                    }
                }
                out.append('"');
            } else {
                out.append(value);
            }
        }
    }
}
