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

/** Sound servers number the events of their streams by the tokens that they hold, four in each. */
final class Steps {
    private static final int MAX_CLOSED = 3;
    private static final String KEY = "key-1";
    private static final int EVENTS = 24;
    private static final int TOKENS_IN_AN_EVENT = 4;
    private static final int CLIENTS = 4;
    private static final int TURNS = 10;

    private final Record record;
    private final int step;
    private final AtomicInteger nextId = new AtomicInteger(1_000_000);
    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();

    private Steps(Record record, boolean hasTrouble) {
        this.record = record;
        this.step = hasTrouble ? TOKENS_IN_AN_EVENT : 1;
    }

    public static void main(String[] arguments) throws Exception {
        Path directory = Files.createTempDirectory("review-steps");
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            try {
                code = new Steps(record, !"0".equals(System.getenv("TROUBLE"))).play(directory);
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
        return "{\"version\":1000,\"routes\":[" + route("r-1", "/resumable/", true) + ","
                + route("r-2", "/once/", false) + "],"
                + "\"services\":[{\"name\":\"advice\",\"health_path\":\"/health\",\"connection_limit\":248}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"" + KEY + "\"]}]}";
    }

    /** Answers the first request of a channel with a stream of one event, and the others with a whole one. */
    private boolean advise(Backend server, Http.Message request, Socket connection, OutputStream out) throws Exception {
        int events = request.path().endsWith("/short") ? 1 : EVENTS;
        String after = request.field("Last-Event-Id");
        int id = after == null ? 0 : Integer.parseInt(after);
        runs.incrementAndGet();
        record.add("%s runs %s after event %s", server.id(), request.field("X-Attempt-Id"), after);
        Backend.sleep(60);
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        + server.fields(request) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = id / step + 1; event <= events; event++) {
            String text = "id: " + event * step + "\ndata: piece " + event + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Backend.sleep(20);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    /** Asks once on an open channel; returns the number of pieces, or -1 if there was no success. */
    private int ask(Socket channel, InputStream in, String path) throws IOException {
        int id = nextId.getAndIncrement();
        channel.getOutputStream()
                .write(("POST " + path + " HTTP/1.1\r\nHost: farm.example\r\nX-Attempt-Id: " + id
                                + "\r\nX-Deadline-Milliseconds: 7990\r\nX-Model: m\r\nX-Token-Counts: 700,96\r\n"
                                + "X-Prompt-Prefix: 5c1e07a2:40," + id + ":600\r\nAuthorization: Bearer " + KEY
                                + "\r\nContent-Length: 4\r\n\r\nbody")
                        .getBytes(StandardCharsets.ISO_8859_1));
        int pieces = 0;
        try {
            String status = Http.line(in).split(" ")[1];
            String length = "0";
            for (String field = Http.line(in); !field.isEmpty(); field = Http.line(in)) {
                if (field.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                    length = field.substring(field.indexOf(':') + 1).trim();
                }
            }
            if (!status.equals("200")) {
                Http.exactly(in, Integer.parseInt(length));
                record.add("%s %d: %s", path, id, status);
                return -1;
            }
            for (int size = Http.chunkSize(in); size > 0; size = Http.chunkSize(in)) {
                pieces += new String(Http.exactly(in, size), StandardCharsets.ISO_8859_1).split("data:").length - 1;
                Http.line(in);
            }
            Http.line(in);
        } catch (IOException e) {
            record.add("%s %d: the channel was closed after %d pieces", path, id, pieces);
            throw e;
        }
        record.add("%s %d: complete, %d pieces", path, id, pieces);
        return pieces;
    }

    private void client(Entry entry, String path) {
        for (int turn = 0; turn < TURNS; turn++) {
            boolean isKept = false;
            try (Socket channel = Http.connect(entry.callerAddress(), 1_000)) {
                InputStream in = new BufferedInputStream(channel.getInputStream());
                isKept = ask(channel, in, path + "short") == 1;
                int pieces = ask(channel, in, path + "long");
                (pieces == EVENTS ? complete : refused).incrementAndGet();
            } catch (IOException e) {
                if (isKept) {
                    closed.incrementAndGet();
                }
            }
        }
    }

    private int play(Path directory) throws Exception {
        String net = "127." + (10 + (int) (ProcessHandle.current().pid() % 200)) + "."
                + (1 + (int) (System.nanoTime() / 1_000 % 250)) + ".";
        Store store = new Store(net + "1");
        store.put(Store.OPERATOR, "config", config());
        for (int server = 0; server < 6; server++) {
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
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Entry entry = entries.get(client % 2);
            String path = client < CLIENTS / 2 ? "/resumable/" : "/once/";
            clients.add(Http.thread(() -> client(entry, path)));
        }
        for (Thread client : clients) {
            client.join();
        }
        record.add(
                "streams on kept channels: %d complete, %d refused; LOST: %d closed before their end; %d runs in all",
                complete.get(), refused.get(), closed.get(), runs.get());
        if (complete.get() + closed.get() < 10) {
            return 2;
        }
        return closed.get() > MAX_CLOSED ? 1 : 0;
    }
}
