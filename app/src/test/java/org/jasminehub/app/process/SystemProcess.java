package org.jasminehub.app.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry instance or agent that runs as a separate process with a settings file. */
public final class SystemProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    private final Process process;
    private final String startLine;

    private SystemProcess(Process process, String startLine) {
        this.process = process;
        this.startLine = startLine;
    }

    /** Starts {@code role} and waits for the line that reports its start; its log is written to {@code logFile}. */
    public static SystemProcess start(String role, Path settings, Path logFile) {
        try {
            Process process = builder(List.of(role, "--settings", settings.toString()))
                    .redirectError(logFile.toFile())
                    .start();
            BufferedReader output = process.inputReader();
            String line = output.readLine();
            if (line == null) {
                throw new AssertionError(
                        role + " exited with code " + process.onExit().join().exitValue());
            }
            return new SystemProcess(process, line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs the command line until it exits and returns its exit code. */
    public static int run(Path logFile, String... arguments) {
        try {
            Process process = builder(List.of(arguments))
                    .redirectErrorStream(true)
                    .redirectOutput(logFile.toFile())
                    .start();
            return process.onExit().join().exitValue();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the port on which the process listens for peers or callers. */
    public int port() {
        String address = startLine.split(" ")[1];
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Returns the port of the metrics and health checks. */
    public int operationsPort() {
        return Integer.parseInt(startLine.substring(startLine.lastIndexOf(' ') + 1));
    }

    /** Returns the handle of the process. */
    public ProcessHandle handle() {
        return process.toHandle();
    }

    /** Terminates the process normally and returns its exit code. */
    public int stop() {
        process.destroy();
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("the process did not exit within the time limit");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        return process.exitValue();
    }

    /** Kills the process. */
    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }

    private static ProcessBuilder builder(List<String> arguments) {
        List<String> command = new java.util.ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:-UsePerfData",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.jasminehub.app.Main"));
        command.addAll(arguments);
        return new ProcessBuilder(command);
    }
}
