package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Both entry instances are stopped as planned and start again while the store is back from a drill. */
final class Restore {
    private static final long REVOKE_MILLIS = 5_000;

    private static final String WITHDRAWN_KEY = "key-withdrawn";
    private static final String KEPT_KEY = "key-kept";

    private final Record record;
    private final boolean hasTrouble;
    private final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private final Set<String> withdrawn = ConcurrentHashMap.newKeySet();
    private final List<String> ran = new ArrayList<>();
    private final AtomicInteger nextId = new AtomicInteger(1_000_000);

    private Restore(Record record, boolean hasTrouble) {
        this.record = record;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path directory = Files.createTempDirectory("review-restore");
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            try {
                code = new Restore(record, !"0".equals(System.getenv("TROUBLE"))).play(directory);
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
            }
            record.add("exit %d", code);
        }
        System.exit(code);
    }

    private static String config(int version, String... keys) {
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-1\",\"host\":\"shop.example\",\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"orders\",\"attempts\":1,"
                + "\"public\":false},"
                + "{\"name\":\"r-2\",\"host\":\"shop.example\",\"path_prefix\":\"/advice/\",\"kind\":\"streaming\","
                + "\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"advice\",\"attempts\":2,"
                + "\"public\":false,\"resume_streams\":true,\"gap_aim_ms\":120}],"
                + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"connection_limit\":100},"
                + "{\"name\":\"advice\",\"health_path\":\"/health\",\"connection_limit\":100}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"" + String.join("\",\"", keys) + "\"]}]}";
    }

    private boolean order(Backend server, Http.Message request, Socket connection, OutputStream out) throws Exception {
        String id = request.field("X-Attempt-Id");
        synchronized (ran) {
            ran.add(id);
        }
        Backend.sleep(20);
        Http.respond(out, 200, server.fields(request), Backend.body(800));
        return true;
    }

    /** Writes 79 events in about 7.9 s, as a long answer of a model server does. */
    private boolean advise(Backend server, Http.Message request, Socket connection, OutputStream out) throws Exception {
        String after = request.field("Last-Event-Id");
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                        + server.fields(request) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event < 80; event++) {
            Backend.sleep(100);
            byte[] bytes = ("id: " + event + "\ndata: word\n\n").getBytes(StandardCharsets.ISO_8859_1);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    private String request(String path, String key) {
        return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + nextId.getAndIncrement()
                + "\r\nX-Deadline-Milliseconds: 7990\r\nAuthorization: Bearer " + key
                + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    /** Sends one order; returns the status, 0 if there was no answer. */
    private int send(Entry entry, String key) {
        String request = request("/orders/1", key);
        String id = request.replaceAll("(?s).*X-Attempt-Id: ([0-9]+).*", "$1");
        sentMillis.put(id, record.millis());
        if (key.equals(WITHDRAWN_KEY)) {
            withdrawn.add(id);
        }
        try {
            int status = Http.call(entry.callerAddress(), request).status();
            record.add("order %s with %s at %s, sent at %d ms: %d", id, key, entry.callerAddress(), sentMillis.get(id), status);
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    private int play(Path directory) throws Exception {
        String net = "127." + (10 + (int) (ProcessHandle.current().pid() % 200)) + "."
                + (1 + (int) (System.nanoTime() / 1_000 % 250)) + ".";
        Store store = new Store(net + "1");
        store.put(Store.OPERATOR, "config", config(1_000, WITHDRAWN_KEY, KEPT_KEY));
        List<Backend> servers = List.of(
                new Backend(store, net + "11", "i-orders-a", "orders", 6, record, this::order),
                new Backend(store, net + "12", "i-orders-b", "orders", 6, record, this::order),
                new Backend(store, net + "13", "i-advice-a", "advice", 12, record, this::advise));
        List<String> seeds = List.of(net + "21:8229", net + "22:8229");
        List<Entry> entries = List.of(
                new Entry("front-zone-a-1", net + "21", store.address(), seeds, directory, Map.of()),
                new Entry("front-zone-a-2", net + "22", store.address(), seeds, directory, Map.of()));
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            if (!entry.awaitReady(20_000) || send(entry, WITHDRAWN_KEY) != 200 || send(entry, KEPT_KEY) != 200) {
                record.add("an instance does not serve at first");
                return 2;
            }
        }
        for (Entry entry : entries) {
            Http.thread(() -> {
                try {
                    Http.call(entry.callerAddress(), request("/advice/1", KEPT_KEY));
                } catch (IOException e) {
                    record.add("the long answer at %s ended early: %s", entry.callerAddress(), e);
                }
            });
        }
        Backend.sleep(300);
        long stopMillis = record.millis();
        record.add("planned stop: SIGTERM to both instances");
        entries.forEach(Entry::terminate);
        Backend.sleep(700);
        record.add("copy of the store; registered instances: %s", store.keys(Store.INSTANCES));
        Map<String, List<Object>> copy = store.copy();
        Backend.sleep(200);
        String next = config(1_004, KEPT_KEY);
        store.put(Store.OPERATOR, "config", next);
        long confirmedMillis = record.millis();
        record.add("version 1004 without %s is confirmed", WITHDRAWN_KEY);
        for (Entry entry : entries) {
            send(entry, WITHDRAWN_KEY);
        }
        if (hasTrouble) {
            Http.thread(() -> drill(store, copy, stopMillis, servers, next));
        }
        List<Thread> restarts = new ArrayList<>();
        for (Entry entry : entries) {
            restarts.add(Http.thread(() -> restart(entry)));
        }
        for (Thread restart : restarts) {
            restart.join();
        }
        while (record.millis() < stopMillis + 14_000) {
            for (Entry entry : entries) {
                send(entry, WITHDRAWN_KEY);
            }
            Backend.sleep(20);
        }
        for (Entry entry : entries) {
            if (!entry.isReady() || send(entry, KEPT_KEY) != 200) {
                record.add("an instance does not serve at the end");
                return 2;
            }
        }
        return judge(confirmedMillis);
    }

    private void restart(Entry entry) {
        try {
            entry.awaitEnd(10_000);
            record.add("%s has ended", entry.callerAddress());
            Backend.sleep(300);
            entry.start();
            record.add("%s is started again", entry.callerAddress());
            long endNanos = System.nanoTime() + 5_000_000_000L;
            while (System.nanoTime() < endNanos && send(entry, WITHDRAWN_KEY) == 0) {
                Backend.sleep(10);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void drill(
            Store store, Map<String, List<Object>> copy, long stopMillis, List<Backend> servers, String newest) {
        Backend.sleep(stopMillis + 6_300 - record.millis());
        store.goAway();
        record.add("drill: the store is away");
        Backend.sleep(500);
        store.restore(copy);
        record.add("drill: the store is back from the copy");
        Backend.sleep(500);
        servers.forEach(Backend::register);
        record.add("drill: the servers have written again");
        Backend.sleep(1_500);
        store.put(Store.OPERATOR, "config", newest);
        record.add("drill: the operator has written again");
    }

    private int judge(long confirmedMillis) {
        int broken = 0;
        synchronized (ran) {
            for (String id : ran) {
                Long sent = sentMillis.get(id);
                if (sent != null && sent > confirmedMillis + REVOKE_MILLIS && withdrawn.contains(id)) {
                    broken++;
                    record.add("CONFIG: order %s ran; sent %d ms after the confirmation", id, sent - confirmedMillis);
                }
            }
        }
        record.add("orders with the withdrawn key that ran too late: %d", broken);
        return broken > 0 ? 1 : 0;
    }
}
