package org.jasminehub.bench.start;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jasminehub.bench.BenchException;

/** The programs that {@code deploy/build} packages, with the command lines of {@code deploy/system.toml}. */
public final class PackagedPrograms {
    private static final String HOST = "127.0.0.1";

    private final Path root;

    private PackagedPrograms(Path root) {
        this.root = root;
    }

    /** Returns the programs of the source tree that contains the running one. */
    public static PackagedPrograms find() {
        String program = System.getProperty("java.class.path", "").split(File.pathSeparator)[0];
        Path path = Path.of(program).toAbsolutePath();
        while (path != null && !Files.exists(path.resolve("deploy/system.toml"))) {
            path = path.getParent();
        }
        if (path == null || !Files.exists(path.resolve("target/gateway.jsa"))) {
            throw new BenchException("no artifacts in target/; run deploy/build first", null);
        }
        return new PackagedPrograms(path);
    }

    /** Starts the program for {@code role} with further {@code options} of the JVM; its output goes to a file. */
    public StartedProgram start(String role, Path settings, List<String> options, Path output) throws IOException {
        List<String> command = new ArrayList<>(command(role));
        command.addAll(1, options);
        return StartedProgram.start(command, root, settings, output);
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

    /**
     * Returns the settings of an entry instance that listens for callers on {@code callerPort}, and whose store listens on
     * {@code storePort}.
     */
    public static String entrySettings(int callerPort, int storePort) {
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
                """.formatted(HOST, callerPort, storePort);
    }

    /** Returns a port that no process listens on. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
