package org.jasminehub.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A program of this module that runs as a process of its own with a small heap. */
final class LimitedProcess implements AutoCloseable {
    private static final String PEAK_MEMORY_FIELD = "VmHWM:";
    private static final long BYTES_PER_KILOBYTE = 1_024;
    private static final int MAX_SHOWN_ERRORS = 2;

    private final Path output;
    private final Path exceptions;
    private final Process process;
    private long lastPeakMemoryBytes;

    private LimitedProcess(Path output, Path exceptions, Process process) {
        this.output = output;
        this.exceptions = exceptions;
        this.process = process;
    }

    /**
     * Starts the program for {@code role}; returns before it listens.
     *
     * @param settings the text of its settings file
     * @param descriptors how many descriptors the process is told to use
     * @param directory where the settings and the log are written
     */
    static LimitedProcess start(String role, String settings, int heapMegabytes, int descriptors, Path directory)
            throws IOException {
        Path settingsFile = directory.resolve(role + ".yaml");
        Files.writeString(settingsFile, settings);
        Path output = directory.resolve(role + ".log");
        List<String> command = GatewayProcess.command(heapMegabytes, role);
        // Also those that are caught and not logged.
        Path exceptions = directory.resolve(role + "-exceptions.log");
        command.add(1, "-D" + DescriptorShares.PROPERTY + "=" + descriptors);
        command.add(1, "-Xlog:exceptions=info:file=" + exceptions + "::filecount=0");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile());
        builder.environment().put("JASMINEHUB_BOOT", settingsFile.toString());
        return new LimitedProcess(output, exceptions, builder.start());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the largest resident size that the process has had so far, also after its end. */
    long peakMemoryBytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
                if (line.startsWith(PEAK_MEMORY_FIELD)) {
                    String kilobytes =
                            line.substring(PEAK_MEMORY_FIELD.length()).replace("kB", "");
                    lastPeakMemoryBytes = Long.parseLong(kilobytes.trim()) * BYTES_PER_KILOBYTE;
                }
            }
        } catch (IOException e) {
            // The process has ended; the last value stays.
        }
        return lastPeakMemoryBytes;
    }

    /** Returns the number of descriptors that the process has open, 0 after its end. */
    int openDescriptors() {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) descriptors.count();
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /** Returns the first lines of the logs that show a lack of memory, or a class that is unusable after one. */
    List<String> memoryErrors() {
        List<String> errors = new ArrayList<>();
        for (Path log : List.of(output, exceptions)) {
            try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
                lines.filter(LimitedProcess::isMemoryError)
                        .limit(MAX_SHOWN_ERRORS)
                        .forEach(errors::add);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return errors;
    }

    private static boolean isMemoryError(String line) {
        return line.contains("OutOfMemoryError")
                || line.contains("OutOfDirectMemoryError")
                || line.contains("Could not initialize class");
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
