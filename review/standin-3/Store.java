package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The platform's store as PROTOCOL.md describes it: keyed logs with one partition, and the header of a drill. */
final class Store {
    static final String OPERATOR = "keyed.op";
    static final String SERVERS = "keyed.servers";
    static final String INSTANCES = "keyed.jasminehub-instances";

    private record Entry(String key, byte[] value) {}

    private final Http.Server server;
    private final Map<String, List<Entry>> logs = new HashMap<>();
    private long era = 1;
    private boolean isAway;

    Store(String host) throws IOException {
        server = new Http.Server(host, this::handle);
    }

    String address() {
        return server.address();
    }

    private List<Entry> log(String topic) {
        return logs.computeIfAbsent(topic, each -> new ArrayList<>());
    }

    /** Appends a record of the operator or of a server; returns when it is confirmed. */
    synchronized void put(String topic, String key, String value) {
        log(topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    /** Returns the keys that have a value. */
    synchronized List<String> keys(String topic) {
        return new ArrayList<>(newest(topic).keySet());
    }

    /** Returns a copy of all logs. */
    synchronized Map<String, List<Object>> copy() {
        Map<String, List<Object>> copy = new HashMap<>();
        logs.forEach((topic, log) -> copy.put(topic, new ArrayList<>(log)));
        return copy;
    }

    /** Begins a drill: the store does not answer until {@link #restore}. */
    synchronized void goAway() {
        isAway = true;
        notifyAll();
    }

    /** Ends a drill: the store is back with the records of {@code copy}. */
    synchronized void restore(Map<String, List<Object>> copy) {
        logs.clear();
        copy.forEach((topic, log) -> log.forEach(entry -> log(topic).add((Entry) entry)));
        era++;
        isAway = false;
        notifyAll();
    }

    private Map<String, Integer> newest(String topic) {
        Map<String, Integer> offsets = new LinkedHashMap<>();
        List<Entry> log = log(topic);
        for (int offset = 0; offset < log.size(); offset++) {
            offsets.remove(log.get(offset).key());
            if (log.get(offset).value().length > 0) {
                offsets.put(log.get(offset).key(), offset);
            }
        }
        return offsets;
    }

    private synchronized boolean handle(Http.Message request, Socket connection, OutputStream out) throws Exception {
        if (isAway) {
            return false;
        }
        String topic = request.query("topic");
        switch (request.path()) {
            case "/log-append" -> append(topic, request.body(), out);
            case "/log-newest" -> respondNewest(topic, out);
            case "/log-read" -> {
                return read(request, topic, out);
            }
            default -> respond(out, 404, new byte[0]);
        }
        return true;
    }

    private void append(String topic, byte[] body, OutputStream out) throws IOException {
        if (topic.equals(OPERATOR) || topic.equals(SERVERS)) {
            respond(out, 403, new byte[0]);
            return;
        }
        List<Entry> log = log(topic);
        int first = log.size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            int length = buffer.getInt();
            byte[] key = new byte[buffer.get() & 0xff];
            buffer.get(key);
            byte[] value = new byte[length - 1 - key.length];
            buffer.get(value);
            log.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
        }
        notifyAll();
        respond(out, 200, bytes("{\"offset\":" + first + ",\"end\":" + log.size() + "}"));
    }

    private void respondNewest(String topic, OutputStream out) throws IOException {
        List<Entry> log = log(topic);
        List<String> items = new ArrayList<>();
        newest(topic)
                .forEach((key, offset) -> items.add("{\"key\":\"" + key + "\",\"value\":\""
                        + Base64.getEncoder().encodeToString(log.get(offset).value()) + "\",\"offset\":" + offset
                        + "}"));
        respond(
                out,
                200,
                bytes("{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"end\":" + log.size() + "}"));
    }

    private boolean read(Http.Message request, String topic, OutputStream out) throws Exception {
        int from = Integer.parseInt(request.query("from"));
        String wait = request.query("wait_ms");
        long endNanos = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000;
        long eraAtStart = era;
        while (log(topic).size() == from && !isAway && era == eraAtStart) {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                break;
            }
            wait(leftMillis);
        }
        if (isAway || era != eraAtStart) {
            return false;
        }
        List<Entry> log = log(topic);
        if (from > log.size()) {
            respond(out, 410, bytes("{\"first\":0}"));
            return true;
        }
        ByteArrayOutputStream slice = new ByteArrayOutputStream();
        slice.write(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
        for (Entry entry : log.subList(from, log.size())) {
            byte[] key = bytes(entry.key());
            int length = 1 + key.length + entry.value().length;
            slice.write(ByteBuffer.allocate(4 + length)
                    .putInt(length)
                    .put((byte) key.length)
                    .put(key)
                    .put(entry.value())
                    .array());
        }
        respond(out, 200, slice.toByteArray());
        return true;
    }

    private void respond(OutputStream out, int status, byte[] body) throws IOException {
        Http.respond(out, status, "Content-Type: application/json\r\nStore-Era: " + era + "\r\n", body);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
