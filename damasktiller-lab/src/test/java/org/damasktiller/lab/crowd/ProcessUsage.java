package org.damasktiller.lab.crowd;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Reads from the operating system what a process uses. */
final class ProcessUsage {

    /** The number of bytes of a kilobyte and of kilobytes of a megabyte. */
    private static final long KILO = 1_024;

    /** The line of a process's status with its largest resident memory, in kilobytes. */
    private static final String PEAK_MEMORY = "VmHWM:";

    /** Prevents instantiation. */
    private ProcessUsage() {}

    /**
     * Returns the largest resident memory that a process has had.
     *
     * @param processId the identifier of the process
     * @return the memory, in megabytes
     * @throws IOException if the process has ended
     */
    static long peakMegabytes(long processId) throws IOException {
        try (Stream<String> lines = Files.lines(directory(processId).resolve("status"))) {
            String line =
                    lines.filter(text -> text.startsWith(PEAK_MEMORY)).findFirst().orElseThrow();
            return Long.parseLong(line.replaceAll("\\D", "")) / KILO;
        }
    }

    /**
     * Returns how many descriptors a process has open.
     *
     * @param processId the identifier of the process
     * @return the number
     * @throws IOException if the process has ended
     */
    static long descriptors(long processId) throws IOException {
        try (Stream<Path> entries = Files.list(directory(processId).resolve("fd"))) {
            return entries.count();
        }
    }

    /**
     * Returns the directory that describes a process.
     *
     * @param processId the identifier of the process
     * @return the path
     */
    private static Path directory(long processId) {
        return Path.of("/proc", Long.toString(processId));
    }
}
