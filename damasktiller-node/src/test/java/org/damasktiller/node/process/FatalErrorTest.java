package org.damasktiller.node.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the program of an entry VM with a fatal error. */
final class FatalErrorTest {

    /** The exit code of a process that has met a fatal error, as docs/OPERATIONS.md says. */
    private static final int EXIT_FATAL_ERROR = 4;

    /** Enough for the settings file, too little for the connections, in bytes. */
    private static final int DIRECT_MEMORY_BYTES = 10_000;

    /** An answer of the store. */
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    @TempDir private Path directory;

    // The error was logged as unexpected, and the process went on without its connections.
    @Test
    void lackOfMemoryForConnectionsEndsTheProcess() throws IOException, InterruptedException {
        try (ServerSocket store = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process = start(store.getLocalPort());
            try (Socket connection = store.accept();
                    BufferedReader output = process.inputReader()) {
                connection.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
                StringBuilder text = new StringBuilder();
                String line = output.readLine();
                while (line != null && !line.contains("unexpected error")) {
                    text.append(line).append('\n');
                    line = output.readLine();
                }
                assertThat(text + "ended by: " + line, line == null);
                assertThat(process.waitFor(), equalTo(EXIT_FATAL_ERROR));
                assertThat(
                        text.toString(),
                        containsString("\"event\":\"process.fatal\",\"thread\":\"main\""));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Starts the program with little memory for connections. */
    private Process start(int storePort) throws IOException {
        Path settings = directory.resolve("settings");
        Files.writeString(
                settings,
                """
                node_name=entry-1
                role=entry
                ip=127.0.0.1
                zone=zone-1
                region=region-1
                zones.zone-1=region-1
                listen_addresses.frontend=127.0.0.1:0
                listen_addresses.readiness=127.0.0.1:0
                internal_ports=0,0
                limits.cpu_share=0.75
                bounds.grace_s=6
                bounds.hold_max_ms=6000
                bounds.impact_ms=4000
                bounds.contact_ms=4000
                bounds.remote_factor=2
                platform.form=kv
                platform.ttl_min_ms=1000
                platform.address=127.0.0.1:%d
                """
                        .formatted(storePort));
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:MaxDirectMemorySize=" + DIRECT_MEMORY_BYTES,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .start();
    }
}
