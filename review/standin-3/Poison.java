package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** One request, which comes again and again, crashes each server that has begun to run it. */
final class Poison {
    private static final long STABILITY_WINDOW_MILLIS = 3_000;
    private static final int MAX_LATE_REQUESTS = 3;
    private static final int LAST_CRASH_BEFORE_BOUND = 3;

    private static final String KEY = "key-1";
    private static final String CRASHING_BODY = "evil";
    private static final String SOUND_BODY = "fine";
    private static final int EVENTS = 24;
    private static final long DOWN_MILLIS = 3_000;

    private static final long REQUEST_INTERVAL_MILLIS = 26;
    private static final long CRASHING_INTERVAL_MILLIS = 4_000;
    private static final long CRASHING_FROM_MILLIS = 2_000;
    private static final long CRASHING_FOR_MILLIS = 20_000;
    private static final long LENGTH_MILLIS = 24_000;

    private final Record record;
    private final boolean hasTrouble;
    private final AtomicInteger nextId = new AtomicInteger(1_000_000);
    private final AtomicInteger soundServed = new AtomicInteger();
    private final AtomicInteger soundRefused = new AtomicInteger();
    private final AtomicInteger soundBroken = new AtomicInteger();
    private final List<Long> crashMillis = new ArrayList<>();
    private final List<Long> reachedMillis = new ArrayList<>();

    private Poison(Record record, boolean hasTrouble) {
        this.record = record;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path directory = Files.createTempDirectory("review-poison");
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            try {
                code = new Poison(record, !"0".equals(System.getenv("TROUBLE"))).play(directory);
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
            }
            record.add("exit %d", code);
        }
        System.exit(code);
    }

    private static String route(String name, String path, boolean isResumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"farm.example\",\"path_prefix\":\"" + path
                + "\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":1,"
                + "\"service\":\"advice\",\"attempts\":" + (isResumable ? 2 : 1)
                + ",\"public\":false,\"session_affinity\":true,\"resume_streams\":" + isResumable
                + ",\"gap_aim_ms\":120}";
    }

    private static String config() {
        return "{\"version\":1000,\"routes\":[" + route("r-1", "/advice/", true) + "," + route("r-2", "/once/", false)
                + "],"
                + "\"services\":[{\"name\":\"advice\",\"health_path\":\"/health\",\"connection_limit\":248}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"" + KEY + "\"]}]}";
    }

    private boolean advise(Backend server, Http.Message request, Socket connection, OutputStream out) throws Exception {
        String after = request.field("Last-Event-Id");
        boolean isCrashing =
                hasTrouble && new String(request.body(), StandardCharsets.US_ASCII).equals(CRASHING_BODY);
        if (isCrashing) {
            synchronized (crashMillis) {
                reachedMillis.add(record.millis());
            }
            record.add(
                    "the crashing request reaches %2$s as attempt %1$s, after event %3$s",
                    request.field("X-Attempt-Id"), server.id(), after);
        }
        Backend.sleep(60);
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        + server.fields(request) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
            byte[] bytes = ("id: " + event + "\ndata: word\n\n").getBytes(StandardCharsets.ISO_8859_1);
            out.write((Integer.toHexString(bytes.length) + "\r\n" + new String(bytes, StandardCharsets.ISO_8859_1)
                            + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Backend.sleep(20);
            if (isCrashing) {
                synchronized (crashMillis) {
                    if (server.isUp()) {
                        crashMillis.add(record.millis());
                    }
                }
                server.crash(DOWN_MILLIS);
                return false;
            }
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    private void ask(Entry entry, String path, String parts, boolean isSound) {
        int id = nextId.getAndIncrement();
        String request = "POST " + path + " HTTP/1.1\r\nHost: farm.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Milliseconds: 7990\r\nX-Model: m\r\nX-Token-Counts: 700,96\r\nX-Prompt-Prefix: " + parts
                + "\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: 4\r\n\r\n"
                + (isSound ? SOUND_BODY : CRASHING_BODY);
        String outcome;
        int events = 0;
        try (Socket socket = Http.connect(entry.callerAddress(), 1_000)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = Http.line(in).split(" ")[1];
            outcome = status;
            while (!Http.line(in).isEmpty()) {
                // The fields are of no use here.
            }
            if (status.equals("200")) {
                outcome = "broken off";
                for (int size = Http.chunkSize(in); size > 0; size = Http.chunkSize(in)) {
                    events += new String(Http.exactly(in, size), StandardCharsets.ISO_8859_1).split("id:").length - 1;
                    Http.line(in);
                }
                outcome = "complete";
            }
        } catch (IOException e) {
            outcome = "broken off";
        }
        if (isSound) {
            (outcome.equals("complete") ? soundServed : outcome.equals("broken off") ? soundBroken : soundRefused)
                    .incrementAndGet();
        }
        record.add(
                "%s request %d (%s) at %s: %s, %d events",
                isSound ? "sound" : "crashing", id, path, entry.callerAddress(), outcome, events);
    }

    private int play(Path directory) throws Exception {
        String net = "127." + (10 + (int) (ProcessHandle.current().pid() % 200)) + "."
                + (1 + (int) (System.nanoTime() / 1_000 % 250)) + ".";
        Store store = new Store(net + "1");
        store.put(Store.OPERATOR, "config", config());
        for (int server = 0; server < 12; server++) {
            new Backend(store, net + (101 + server), "i-advice-" + server, "advice", 12, record, this::advise);
        }
        List<String> seeds = List.of(net + "21:8229", net + "22:8229");
        List<Entry> entries = List.of(
                new Entry("front-zone-a-1", net + "21", store.address(), seeds, directory, Map.of()),
                new Entry("front-zone-a-2", net + "22", store.address(), seeds, directory, Map.of()));
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            if (!entry.awaitReady(20_000)) {
                record.add("an instance is not ready");
                return 2;
            }
        }
        long startMillis = record.millis();
        long nextCrashingMillis = startMillis + CRASHING_FROM_MILLIS;
        long endCrashingMillis = nextCrashingMillis + CRASHING_FOR_MILLIS;
        int repeats = 0;
        for (int turn = 0; record.millis() < startMillis + LENGTH_MILLIS; turn++) {
            Entry entry = entries.get(turn % 2);
            String parts = "5c1e07a" + turn % 4 + ":40," + Integer.toHexString(0x5000_0000 + turn) + ":600";
            String path = turn / 2 % 2 == 0 ? "/advice/1" : "/once/1";
            Http.thread(() -> ask(entry, path, parts, true));
            if (record.millis() >= nextCrashingMillis && record.millis() < endCrashingMillis) {
                nextCrashingMillis += CRASHING_INTERVAL_MILLIS;
                Entry other = entries.get(repeats++ % 2);
                Http.thread(() -> ask(other, "/advice/1", "5c1e07a0:40,77777777:600", false));
            }
            Backend.sleep(REQUEST_INTERVAL_MILLIS);
        }
        Backend.sleep(2_000);
        return judge();
    }

    private int judge() {
        record.add(
                "sound requests: %d served, %d refused, %d broken off",
                soundServed.get(), soundRefused.get(), soundBroken.get());
        if (soundServed.get() < 20) {
            return 2;
        }
        synchronized (crashMillis) {
            record.add("crashes: %d at %s", crashMillis.size(), crashMillis);
            if (crashMillis.size() < LAST_CRASH_BEFORE_BOUND) {
                return 0;
            }
            long boundMillis = crashMillis.get(LAST_CRASH_BEFORE_BOUND - 1) + STABILITY_WINDOW_MILLIS;
            long late = reachedMillis.stream().filter(each -> each > boundMillis).count();
            record.add(
                    "BUDGET: the crashing request reached servers %d times later than %d ms after its third crash",
                    late, STABILITY_WINDOW_MILLIS);
            return late > MAX_LATE_REQUESTS ? 1 : 0;
        }
    }
}
