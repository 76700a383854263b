package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One of the project's programs as a process of its own. The command comes from the deploy file, and the settings file is
 * the project's template, filled in for a small deployment.
 */
final class Program implements AutoCloseable {
    private static final int FILE_DESCRIPTORS = 4_200;

    /** The field whose value replaces the list of seeds in a template. */
    private static final String SEEDS = "#seeds";

    private final String name;
    private final String host;
    private final Map<String, String> fields;
    private final Process process;

    /**
     * Starts the program of {@code role}.
     *
     * @param host a loopback address that no other process uses
     */
    Program(String role, String name, String host, Map<String, String> ownFields, Path directory) throws IOException {
        this.name = name;
        this.host = host;
        this.fields = new LinkedHashMap<>(ownFields);
        Path root = Path.of("").toAbsolutePath();
        Path settings = directory.resolve(name + ".yaml");
        Files.writeString(settings, fill(Files.readString(root.resolve("deploy/" + role + ".yaml.tmpl"))));
        List<String> command = new ArrayList<>(command(role));
        command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(directory.resolve(name + ".log").toFile());
        builder.environment().put("JASMINEHUB_BOOT", settings.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Starts an entry instance that is given no seeds. */
    static Program entry(String name, String host, String zone, String storeAddress, Path directory)
            throws IOException {
        return entry(entryFields(name, host, zone, storeAddress), List.of(), directory);
    }

    /** Starts an entry instance with the settings {@code fields}; {@code seeds} are the control addresses of instances. */
    static Program entry(Map<String, String> fields, List<String> seeds, Path directory) throws IOException {
        Map<String, String> withSeeds = new LinkedHashMap<>(fields);
        withSeeds.put(SEEDS, seeds.isEmpty() ? "" : "\"" + String.join("\",\"", seeds) + "\"");
        String host = fields.get("listen.front").replaceAll(":[0-9]+$", "");
        return new Program("entry", fields.get("node_name"), host, withSeeds, directory);
    }

    /** Returns the settings of an entry instance on free ports of {@code host}. */
    static Map<String, String> entryFields(String name, String host, String zone, String storeAddress)
            throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("node_name", name);
        fields.put("zone", zone);
        fields.put("listen.front", host + ":" + Listener.freePort(host));
        fields.put("listen.ready", host + ":" + Listener.freePort(host));
        fields.put("listen.directory", host + ":" + Listener.freePort(host));
        fields.put("listen.control", host + ":" + Listener.freePort(host));
        fields.put("platform.address", storeAddress);
        return withBounds(fields);
    }

    /** Starts a rank agent beside the engine at {@code engineAddress}. */
    static Program rankAgent(
            String name, String host, String zone, String engineAddress, String storeAddress, Path directory)
            throws IOException {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("node_name", name);
        fields.put("zone", zone);
        fields.put("ip_address", host);
        fields.put("app", engineAddress);
        fields.put("platform.address", storeAddress);
        return new Program("rank-agent", name, host, withBounds(fields), directory);
    }

    /** Adds the bounds and limits of the small sites. */
    private static Map<String, String> withBounds(Map<String, String> fields) {
        fields.put("internal_ports.1", "7355");
        fields.put("bounds.revoke_ms", "5000");
        fields.put("bounds.drain_ms", "2000");
        fields.put("bounds.grace_s", "8");
        fields.put("bounds.ttl_max_s", "5");
        fields.put("bounds.budget_ratio", "0.2");
        fields.put("bounds.budget_slack", "88");
        fields.put("bounds.budget_window_s", "10");
        fields.put("limits.cpu_share", "0.75");
        fields.put("limits.cores", "1");
        return fields;
    }

    private String fill(String template) {
        String seeds = java.util.regex.Matcher.quoteReplacement(fields.getOrDefault(SEEDS, ""));
        String text = template.replaceAll("(?s)\\{\\{#seeds\\}\\}.*?\\{\\{/seeds\\}\\}", seeds);
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "|json}}", "\"" + field.getValue() + "\"")
                    .replace("{{" + field.getKey() + "}}", field.getValue());
        }
        if (text.contains("{{")) {
            throw new IllegalStateException("the template has a field that this stand-in does not know: " + text);
        }
        return text;
    }

    private static List<String> command(String role) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                isInRole = line.equals("[roles." + role + "]");
            } else if (isInRole && line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                run = run.replace("{{limits.file_descriptors}}", Integer.toString(FILE_DESCRIPTORS));
                return Arrays.asList(run.split(" "));
            }
        }
        throw new IllegalStateException("no command of " + role + " in the deploy file");
    }

    String name() {
        return name;
    }

    /** Returns the address {@code listen.WHAT}. */
    InetSocketAddress address(String what) {
        String address = fields.get("listen." + what);
        return new InetSocketAddress(host, Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    }

    boolean isRunning() {
        return process.isAlive();
    }

    /** Sends a signal by its name. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Returns the status of the readiness probe, or 0 if there is no answer. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(address("ready"), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            return head == null ? 0 : head.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Waits until the instance is ready for clients; fails after {@code limitMillis}. */
    void awaitReady(long limitMillis) throws InterruptedException {
        long untilNanos = System.nanoTime() + limitMillis * 1_000_000;
        while (readiness() != 200) {
            if (System.nanoTime() > untilNanos || !process.isAlive()) {
                throw new IllegalStateException(name + " is not ready");
            }
            Thread.sleep(50);
        }
    }

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
