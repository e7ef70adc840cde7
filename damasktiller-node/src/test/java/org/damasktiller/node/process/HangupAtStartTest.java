package org.damasktiller.node.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a SIGHUP that arrives before the process of an entry VM can act on it. */
final class HangupAtStartTest {

    /** The exit code for settings that are invalid. */
    private static final int EXIT_INVALID_SETTINGS = 3;

    @TempDir private Path directory;

    // A SIGHUP ended the process with exit code 129 while it was still reading its settings.
    @Test
    void hangupWhileTheSettingsAreReadDoesNotEndTheProcess()
            throws IOException, InterruptedException {
        Path settings = directory.resolve("settings");
        run("mkfifo", settings.toString());
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                Main.class.getName(),
                                "--settings",
                                settings.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(directory.resolve("output").toFile())
                        .start();
        try (var writer = Files.newOutputStream(settings)) {
            run("kill", "-HUP", Long.toString(process.pid()));
            writer.write("no settings\n".getBytes(StandardCharsets.UTF_8));
        }
        assertThat(process.waitFor(), equalTo(EXIT_INVALID_SETTINGS));
    }

    @Test
    void signalThatCameTooEarlyIsActedOnOnceAndLaterOnesEachTime() {
        List<String> actions = new ArrayList<>();
        PendingSignal signal = new PendingSignal();
        signal.run();
        signal.run();
        assertThat(actions, empty());
        signal.release(() -> actions.add("reload"));
        assertThat(actions, contains("reload"));
        signal.run();
        assertThat(actions, contains("reload", "reload"));
    }

    /** Runs a command and waits for its end. */
    private static void run(String... command) throws IOException, InterruptedException {
        assertThat(new ProcessBuilder(command).start().waitFor(), equalTo(0));
    }
}
