package org.jasminehub.bench.start;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.jasminehub.bench.BenchException;

/**
 * Measures the start of the packaged entry instance and rank agent with the command lines of {@code deploy/system.toml}:
 * CPU time until the process listens and two seconds later, and the classes loaded outside the class archive.
 *
 * <p>Fails if a program loads more than {@value #MAX_JAR_CLASSES} classes from the jar, because the rehearsal of
 * {@code deploy/build} then no longer follows the path of a real start. Requires the artifacts of {@code deploy/build}.
 * The store is an address that refuses connections.
 */
public final class StartBench {
    /** Rarely used classes, such as those for a failure that the rehearsal does not meet. */
    private static final int MAX_JAR_CLASSES = 10;

    private static final int RUNS = 7;
    private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final String HOST = "127.0.0.1";

    private final PrintStream out;
    private final Path root;
    private final Path folder;

    private StartBench(PrintStream out, Path root, Path folder) {
        this.out = out;
        this.root = root;
        this.folder = folder;
    }

    /** Runs the programs and prints the table. */
    public static void run(PrintStream out) {
        Path root = findRoot();
        try {
            Path folder = Files.createTempDirectory("start-bench");
            try {
                new StartBench(out, root, folder).measure();
            } finally {
                delete(folder);
            }
        } catch (IOException e) {
            throw new BenchException("cannot start the programs", e);
        }
    }

    private void measure() throws IOException {
        out.printf("Median of %d starts, lowest and highest in brackets; seconds of CPU time.%n", RUNS);
        out.printf(
                "%-12s %-24s %-24s %9s %9s %9s%n",
                "role", "listening", "2 s later", "archived", "from jar", "generated");
        int worst = 0;
        for (String role : List.of("entry", "rank-agent")) {
            double[] listening = new double[RUNS];
            double[] later = new double[RUNS];
            for (int run = 0; run < RUNS; run++) {
                int port = freePort();
                try (StartedProgram program = start(role, port, List.of())) {
                    program.awaitListening(port);
                    listening[run] = program.cpuSeconds();
                    LockSupport.parkNanos(SETTLE_NANOS);
                    later[run] = program.cpuSeconds();
                }
            }
            List<String> classes = loadedClasses(role);
            int fromJar = count(classes, "source: file:");
            out.printf(
                    "%-12s %-24s %-24s %9d %9d %9d%n",
                    role,
                    describe(listening),
                    describe(later),
                    count(classes, "source: shared objects file"),
                    fromJar,
                    count(classes, "source: __"));
            classes.stream()
                    .filter(line -> line.contains("source: file:"))
                    .limit(MAX_JAR_CLASSES)
                    .forEach(line -> out.println("  " + line));
            worst = Math.max(worst, fromJar);
        }
        if (worst > MAX_JAR_CLASSES) {
            throw new BenchException(
                    worst + " classes loaded from the jar, expected at most " + MAX_JAR_CLASSES
                            + "; the archive is older than the jar, or the rehearsal misses a part of a start",
                    null);
        }
    }

    private StartedProgram start(String role, int port, List<String> options) throws IOException {
        Path settings = folder.resolve(role + ".yaml");
        Files.writeString(settings, role.equals("entry") ? entrySettings(port) : agentSettings(port));
        List<String> command = new ArrayList<>(command(role));
        command.addAll(1, options);
        return StartedProgram.start(command, root, settings, folder.resolve("output.log"));
    }

    /** Returns the lines of the class loading log of a start. */
    private List<String> loadedClasses(String role) throws IOException {
        Path log = folder.resolve("classes.log");
        int port = freePort();
        try (StartedProgram program = start(role, port, List.of("-Xlog:class+load:file=" + log))) {
            program.awaitListening(port);
            LockSupport.parkNanos(SETTLE_NANOS);
        }
        return Files.readAllLines(log);
    }

    /** Returns the command line of {@code role} in {@code deploy/system.toml}. */
    private List<String> command(String role) throws IOException {
        boolean isInSection = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                isInSection = line.equals("[roles." + role + "]");
            } else if (isInSection && line.startsWith("run = \"")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
                        .split(" "));
            }
        }
        throw new BenchException("deploy/system.toml has no command line for " + role, null);
    }

    private static String entrySettings(int callerPort) throws IOException {
        return """
                instance: "bench-entry"
                failureDomain: "here"
                callerAddress: "%1$s:%2$d"
                readinessAddress: "%1$s:0"
                directoryAddress: "%1$s:0"
                peerAddress: "%1$s:0"
                metricsPort: 0
                agentPort: 1
                seeds: []
                storeAddress: "%1$s:%3$d"
                revocationMillis: 5000
                drainMillis: 2000
                graceSeconds: 1
                addressTtlSeconds: 1
                processorShare: 1
                processorSpeed: 1
                repeatRatio: 0.2
                repeatReserve: 240
                repeatWindowSeconds: 10
                capacity:
                  sharedQueuesMinInstances: 0
                  crossDomainCost: 0
                  homeDomainMinEndpoints: 0
                clients:
                  memoryShare: 0.4
                """.formatted(HOST, callerPort, freePort());
    }

    private static String agentSettings(int agentPort) throws IOException {
        return """
                instance: "bench-agent"
                failureDomain: "here"
                host: "%1$s"
                agentPort: %2$d
                engineAddress: "%1$s:1"
                storeAddress: "%1$s:%3$d"
                """.formatted(HOST, agentPort, freePort());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static int count(List<String> lines, String text) {
        return (int) lines.stream().filter(line -> line.contains(text)).count();
    }

    private static String describe(double[] seconds) {
        Arrays.sort(seconds);
        return String.format(
                Locale.ROOT,
                "%.2f (%.2f to %.2f)",
                seconds[seconds.length / 2],
                seconds[0],
                seconds[seconds.length - 1]);
    }

    /** Returns the source tree that contains the running program. */
    private static Path findRoot() {
        String program = System.getProperty("java.class.path", "").split(File.pathSeparator)[0];
        Path path = Path.of(program).toAbsolutePath();
        while (path != null && !Files.exists(path.resolve("deploy/system.toml"))) {
            path = path.getParent();
        }
        if (path == null || !Files.exists(path.resolve("target/gateway.jsa"))) {
            throw new BenchException("no artifacts in target/; run deploy/build first", null);
        }
        return path;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
