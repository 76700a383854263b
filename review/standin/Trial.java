import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** What all scripts share: the store, the processes, the record, and a temporary folder. */
final class Trial {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";

    final Store store = new Store();
    final Record record;
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path directory;
    private final List<EntryProcess> entries = new ArrayList<>();
    private final String network;
    private String storeAddress = "";

    /** Creates a trial that records into {@code folder}. */
    Trial(Path folder) throws IOException {
        record = new Record(folder.resolve("record.txt"));
        directory = Files.createTempDirectory("review");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        network = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + ".";
        record.line("trouble: " + hasTrouble);
    }

    /** Returns a route of a config. */
    static String route(String name, String prefix, String kind, int timeoutMillis, int targetMillis, String service) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + targetMillis
                + ",\"priority\":2,\"service\":\"" + service + "\",\"attempts\":"
                + (kind.equals("unsafe") ? 1 : 2) + ",\"public\":false}";
    }

    void putConfig(int version, String... routes) {
        putConfig(version, "\"" + KEY + "\"", routes);
    }

    /** Writes a config; {@code keys} is a list of quoted keys. */
    void putConfig(int version, String keys, String[] routes) {
        store.put(
                "keyed.op",
                "config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                        + service("booking") + "," + service("herd")
                        + "],\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"" + TENANT
                        + "\",\"api_keys\":[" + keys + "],\"priority\":1}]}");
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"connection_limit\":100,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    /** Starts entry instances; exits if one does not get ready. */
    List<EntryProcess> startEntries(int count) throws Exception {
        storeAddress = store.open();
        for (int number = 1; number <= count; number++) {
            entries.add(start(number));
        }
        for (EntryProcess entry : entries) {
            if (!entry.awaitReady(30_000)) {
                record.line(entry.name + " does not get ready");
                System.out.println("could not run: " + entry.name + " does not get ready");
                end(COULD_NOT_RUN);
            }
        }
        // All instances know each other by then.
        Thread.sleep(1_500);
        record.line(count + " entry instances are ready");
        return entries;
    }

    private EntryProcess start(int number) throws IOException {
        String seeds = "\"" + network + "1:8229\"";
        return EntryProcess.start(
                Path.of("").toAbsolutePath(), directory, "front-a-" + number, network + number, seeds, storeAddress);
    }

    /** Starts the killed instance {@code number} again, with the same settings. */
    EntryProcess restart(int number) throws IOException {
        EntryProcess started = start(number);
        entries.set(number - 1, started);
        return started;
    }

    /** Ends all processes and the script. */
    void end(int code) throws InterruptedException, IOException {
        for (EntryProcess entry : entries) {
            entry.kill();
        }
        try (var files = Files.walk(directory)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.delete(file);
            }
        }
        System.exit(code);
    }
}
