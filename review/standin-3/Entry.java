package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry instance: a process with the command and the settings template of the deploy file. */
final class Entry {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

    private final String name;
    private final String host;
    private final Path directory;
    private final Path settings;
    private final List<String> command = new ArrayList<>();
    private Process process;
    private int starts;

    /** Creates an instance at {@code host}; {@code fields} overrides fields of its settings. */
    Entry(String name, String host, String storeAddress, List<String> seeds, Path directory, Map<String, String> fields)
            throws IOException {
        this.name = name;
        this.host = host;
        this.directory = directory;
        this.settings = directory.resolve(name + ".yaml");
        Map<String, String> values = new java.util.HashMap<>(Map.ofEntries(
                Map.entry("node_name", name),
                Map.entry("zone", "zone-a"),
                Map.entry("listen.front", host + ":8227"),
                Map.entry("listen.ready", host + ":8220"),
                Map.entry("listen.directory", host + ":8224"),
                Map.entry("listen.control", host + ":8229"),
                Map.entry("internal_ports.1", "7355"),
                Map.entry("platform.address", storeAddress),
                Map.entry("bounds.revoke_ms", "5000"),
                Map.entry("bounds.drain_ms", "2000"),
                Map.entry("bounds.grace_s", "8"),
                Map.entry("bounds.ttl_max_s", "5"),
                Map.entry("limits.cpu_share", "0.75"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.file_descriptors", "4100"),
                Map.entry("bounds.budget_ratio", "0.2"),
                Map.entry("bounds.budget_slack", "90"),
                Map.entry("bounds.budget_window_s", "10")));
        values.putAll(fields);
        StringBuilder seedList = new StringBuilder();
        seeds.forEach(each -> seedList.append(seedList.length() > 0 ? "," : "").append('"' + each + '"'));
        String template = Files.readString(Path.of("deploy/entry.yaml.tmpl"))
                .replaceAll("(?s)\\{\\{#seeds}}.*?\\{\\{/seeds}}", Matcher.quoteReplacement(seedList.toString()));
        Files.writeString(settings, fill(template, values));
        for (String word : runCommand().split(" ")) {
            command.add(fill(word, values));
        }
    }

    private static String runCommand() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?s)\\[roles\\.entry].*?run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no role entry");
        }
        return run.group(1);
    }

    private static String fill(String text, Map<String, String> values) {
        return PLACEHOLDER.matcher(text).replaceAll(found -> {
            String value = values.getOrDefault(found.group(1), "");
            return Matcher.quoteReplacement(found.group(2) == null ? value : '"' + value + '"');
        });
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + "-" + starts++ + ".log").toFile());
        builder.environment().put("JASMINEHUB_BOOT", settings.toString());
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    String callerAddress() {
        return host + ":8227";
    }

    String peerAddress() {
        return host + ":8229";
    }

    boolean isReady() {
        try {
            return Http.call(host + ":8220", "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the platform would count the machine as ready. */
    boolean awaitReady(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < endNanos) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    long pid() {
        return process.pid();
    }
}
