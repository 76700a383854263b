package org.jasminehub.bench.start;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.bench.BenchException;

/** A running process of a packaged program; closing it ends the process. */
final class StartedProgram implements AutoCloseable {
    private static final String SETTINGS_VARIABLE = "JASMINEHUB_BOOT";
    private static final long LISTEN_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Process process;
    private final Path output;

    private StartedProgram(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    static StartedProgram start(List<String> command, Path root, Path settings, Path output) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().put(SETTINGS_VARIABLE, settings.toString());
        return new StartedProgram(builder.start(), output);
    }

    /** Waits until the process accepts connections on {@code port}. */
    void awaitListening(int port) throws IOException {
        long endNanos = System.nanoTime() + LISTEN_NANOS;
        while (!accepts(port)) {
            if (!process.isAlive() || System.nanoTime() > endNanos) {
                throw new BenchException("the program does not listen: " + Files.readString(output), null);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static boolean accepts(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the CPU time used so far, which Linux states in steps of 10 ms. */
    double cpuSeconds() {
        return process.toHandle()
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos()
                / NANOS_PER_SECOND;
    }

    /** Ends the process and waits for its end, so that its ports are free again. */
    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
