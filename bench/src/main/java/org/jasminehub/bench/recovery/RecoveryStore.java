package org.jasminehub.bench.recovery;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** A stand-in for the platform's store: keyed logs over HTTP, whose reads are limited in size, and that can be down. */
final class RecoveryStore implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int HEADER_BYTES = 16;
    private static final int LENGTH_BYTES = 4;
    private static final int BYTE_MASK = 0xff;
    private static final int MAX_READ_BYTES = 1_024 << 10;
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    /** One record; an empty value deletes the key. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Entry(String key, byte[] value) {}

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpServer server;
    private final Map<String, List<Entry>> logs = new HashMap<>();
    private volatile boolean isDown;
    private int reads;
    private long readBytes;

    RecoveryStore() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void setDown(boolean down) {
        isDown = down;
    }

    synchronized void put(String topic, String key, String value) {
        log(topic).add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the number of answered reads of logs and their bytes since the last call, as a text. */
    synchronized String takeReads() {
        String text = reads + " reads, " + readBytes / 1_000 + " kB";
        reads = 0;
        readBytes = 0;
        return text;
    }

    private List<Entry> log(String topic) {
        return logs.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private void handle(HttpExchange exchange) {
        try (exchange) {
            Map<String, String> query = query(exchange);
            byte[] request = exchange.getRequestBody().readAllBytes();
            String topic = query.getOrDefault("topic", "");
            if (isDown) {
                respond(exchange, UNAVAILABLE, new byte[0]);
                return;
            }
            switch (exchange.getRequestURI().getPath()) {
                case "/log-newest" -> respond(exchange, OK, newest(topic));
                case "/log-append" -> respond(exchange, OK, append(topic, request));
                default -> read(exchange, topic, query);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        for (String parameter : exchange.getRequestURI().getQuery().split("&")) {
            int equals = parameter.indexOf('=');
            values.put(parameter.substring(0, equals), parameter.substring(equals + 1));
        }
        return values;
    }

    private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private void read(HttpExchange exchange, String topic, Map<String, String> query) throws IOException {
        int from = Integer.parseInt(query.get("from"));
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("wait_ms", "0")));
        long endNanos = System.nanoTime() + waitNanos;
        while (!isDown && size(topic) <= from && System.nanoTime() < endNanos) {
            LockSupport.parkNanos(POLL_NANOS);
        }
        if (isDown) {
            respond(exchange, UNAVAILABLE, new byte[0]);
        } else {
            respond(exchange, OK, slice(topic, from));
        }
    }

    private synchronized int size(String topic) {
        return log(topic).size();
    }

    private synchronized byte[] slice(String topic, int from) {
        List<Entry> log = log(topic);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(
                ByteBuffer.allocate(HEADER_BYTES).putLong(log.size()).putLong(0).array());
        for (Entry entry : log.subList(Math.min(from, log.size()), log.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            int length = 1 + key.length + entry.value().length;
            if (out.size() > HEADER_BYTES && out.size() + length > MAX_READ_BYTES) {
                break;
            }
            out.writeBytes(ByteBuffer.allocate(LENGTH_BYTES + length)
                    .putInt(length)
                    .put((byte) key.length)
                    .put(key)
                    .put(entry.value())
                    .array());
        }
        reads++;
        readBytes += out.size();
        return out.toByteArray();
    }

    private synchronized byte[] newest(String topic) {
        Map<String, byte[]> newest = new LinkedHashMap<>();
        log(topic).forEach(entry -> newest.put(entry.key(), entry.value()));
        newest.values().removeIf(value -> value.length == 0);
        List<String> items = new ArrayList<>();
        newest.forEach((key, value) -> items.add("{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":0}"));
        String page = "{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"end\":" + size(topic) + "}";
        return page.getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] append(String topic, byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        int length = buffer.getInt();
        byte[] key = new byte[buffer.get() & BYTE_MASK];
        buffer.get(key);
        byte[] value = new byte[length - 1 - key.length];
        buffer.get(value);
        log(topic).add(new Entry(new String(key, StandardCharsets.UTF_8), value));
        return ("{\"offset\":" + (size(topic) - 1) + ",\"end\":" + size(topic) + "}").getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
