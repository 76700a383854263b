package org.jasminehub.app.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A role of the system as a process of its own, started with a settings file. */
public final class SystemProcess implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    private final Process process;
    private final String startLine;

    private SystemProcess(Process process, String startLine) {
        this.process = process;
        this.startLine = startLine;
    }

    /** Starts {@code role} and returns once it has printed that it started; its log goes to {@code logFile}. */
    public static SystemProcess start(String role, Path settings, Path logFile) {
        try {
            Process process = builder(List.of(role, "--settings", settings.toString()))
                    .redirectError(logFile.toFile())
                    .start();
            BufferedReader output = process.inputReader();
            String line = output.readLine();
            if (line == null) {
                throw new AssertionError(
                        role + " ended with " + process.onExit().join().exitValue());
            }
            return new SystemProcess(process, line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs the command line to its end and returns its exit code. */
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

    /** Returns the port it listens on for its peers or callers. */
    public int port() {
        String address = startLine.split(" ")[1];
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /** Returns the port of its metrics and health. */
    public int operationsPort() {
        return Integer.parseInt(startLine.substring(startLine.lastIndexOf(' ') + 1));
    }

    /** Returns the process, to be stopped, frozen or killed. */
    public ProcessHandle handle() {
        return process.toHandle();
    }

    /** Asks it to end and returns its exit code. */
    public int stop() {
        process.destroy();
        try {
            if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("the process did not end");
            }
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
        return process.exitValue();
    }

    /** Kills it. */
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
