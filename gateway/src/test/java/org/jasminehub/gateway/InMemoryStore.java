package org.jasminehub.gateway;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.gateway.net.CallerServer;
import org.jasminehub.gateway.net.EndpointAddress;

/** An in-memory implementation of the platform's store: keyed logs, served over HTTP on loopback. */
final class InMemoryStore {
    private record Entry(String key, byte[] value) {}

    /** The default limit of a read; later records are returned by the next one. */
    private static final int MAX_READ_BYTES = 1_024 << 10;

    private final EventLoop loop;
    private final CallerServer server;
    private final List<CallerServer> otherServers = new CopyOnWriteArrayList<>();
    private final Map<String, List<Entry>> logsByTopic = new LinkedHashMap<>();
    private final Map<String, Integer> callsByTopicAndKind = new TreeMap<>();
    private long era = 1;
    private final Set<String> topicsDown = new HashSet<>();
    private boolean isDown;

    InMemoryStore(EventLoop loop) {
        this.loop = loop;
        this.server = listen(() -> isDown);
    }

    private CallerServer listen(BooleanSupplier isUnavailable) {
        return CallerServer.start(
                loop,
                new EndpointAddress("127.0.0.1", 0),
                () -> CallerLimits.DEFAULT,
                (request, answer) -> handle(request, answer, isUnavailable),
                (status, reason) -> {});
    }

    /** Opens another address of this store, which refuses all calls while {@code isCutOff} is true. */
    String openAddress(BooleanSupplier isCutOff) {
        // Not synchronized: the loop may wait for the lock to answer a request while this waits for the loop.
        CallerServer other = listen(() -> isDown || isCutOff.getAsBoolean());
        otherServers.add(other);
        return "127.0.0.1:" + other.port();
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    void put(String topic, String key, String value) {
        put(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void put(String topic, String key, byte[] value) {
        logsByTopic.computeIfAbsent(topic, name -> new ArrayList<>()).add(new Entry(key, value));
    }

    /** A copy of all records, as made some time before an incident. */
    static final class Copy {
        private final Map<String, List<Entry>> logsByTopic = new LinkedHashMap<>();
    }

    synchronized Copy copy() {
        Copy copy = new Copy();
        logsByTopic.forEach((topic, log) -> copy.logsByTopic.put(topic, new ArrayList<>(log)));
        return copy;
    }

    /** Replaces all records by those of {@code copy} and begins the next era; later offsets are assigned again. */
    synchronized void restore(Copy copy) {
        logsByTopic.clear();
        copy.logsByTopic.forEach((topic, log) -> logsByTopic.put(topic, new ArrayList<>(log)));
        era++;
    }

    /** Returns how often {@code key} was appended to {@code topic}, as far as the store knows. */
    synchronized long count(String topic, String key) {
        return logsByTopic.getOrDefault(topic, List.of()).stream()
                .filter(entry -> entry.key().equals(key))
                .count();
    }

    /** Returns the calls received since the start, also refused ones, by topic, kind and key of an append. */
    synchronized Map<String, Integer> calls() {
        return Map.copyOf(callsByTopicAndKind);
    }

    private void count(String topic, QueryStringDecoder query, CallerRequest request) {
        boolean isAppend = HttpMethod.POST.equals(request.method());
        String kind = query.path().equals("/log-newest") ? "newest" : isAppend ? "append " + key(request) : "read";
        callsByTopicAndKind.merge(topic + " " + kind, 1, Integer::sum);
    }

    private static String key(CallerRequest request) {
        ByteBuffer buffer = ByteBuffer.wrap(request.body().toByteArray());
        buffer.getInt();
        byte[] key = new byte[buffer.get()];
        buffer.get(key);
        return new String(key, StandardCharsets.UTF_8);
    }

    /** Sets whether the store refuses all calls. */
    synchronized void setDown(boolean down) {
        isDown = down;
    }

    /** Sets whether the store refuses the calls for {@code topic}. */
    synchronized void setTopicDown(String topic, boolean down) {
        if (down) {
            topicsDown.add(topic);
        } else {
            topicsDown.remove(topic);
        }
    }

    void close() {
        server.close();
        otherServers.forEach(CallerServer::close);
    }

    private synchronized CallerExchange handle(
            CallerRequest request, CallerResponse answer, BooleanSupplier isUnavailable) {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        String topic = query.parameters().get("topic").get(0);
        count(topic, query, request);
        if (isUnavailable.getAsBoolean() || topicsDown.contains(topic)) {
            respond(answer, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
            return CallerExchange.COMPLETED;
        }
        List<Entry> log = logsByTopic.computeIfAbsent(topic, name -> new ArrayList<>());
        if (query.path().equals("/log-newest")) {
            respond(answer, HttpResponseStatus.OK, newest(log));
        } else if (HttpMethod.POST.equals(request.method())) {
            append(log, request.body().toByteArray());
            respond(answer, HttpResponseStatus.OK, "{\"offset\":0,\"end\":1}".getBytes(StandardCharsets.UTF_8));
        } else {
            long wait = query.parameters().containsKey("wait_ms")
                    ? Long.parseLong(query.parameters().get("wait_ms").get(0))
                    : 0;
            read(log, Integer.parseInt(query.parameters().get("from").get(0)), wait, answer, isUnavailable);
        }
        return CallerExchange.COMPLETED;
    }

    private synchronized void read(
            List<Entry> log, int from, long waitMillis, CallerResponse answer, BooleanSupplier isUnavailable) {
        long step = 10;
        if (isUnavailable.getAsBoolean()) {
            answer.abort();
        } else if (log.size() == from && waitMillis > 0) {
            loop.schedule(() -> read(log, from, waitMillis - step, answer, isUnavailable), step, TimeUnit.MILLISECONDS);
        } else if (from > log.size()) {
            respond(answer, HttpResponseStatus.GONE, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
        } else {
            respond(answer, HttpResponseStatus.OK, slice(log, from));
        }
    }

    private static byte[] newest(List<Entry> log) {
        Map<String, String> items = new LinkedHashMap<>();
        int offset = 0;
        for (Entry entry : log) {
            items.remove(entry.key());
            if (entry.value().length > 0) {
                items.put(
                        entry.key(),
                        "{\"key\":\""
                                + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(entry.key()))
                                + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(entry.value()) + "\",\"offset\":" + offset
                                + "}");
            }
            offset++;
        }
        String page =
                "{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end\":" + log.size() + "}";
        return page.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] slice(List<Entry> log, int from) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
        for (Entry entry : log.subList(Math.min(from, log.size()), log.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            int length = 1 + key.length + entry.value().length;
            if (out.size() > 16 && out.size() + length > MAX_READ_BYTES) {
                break;
            }
            out.writeBytes(ByteBuffer.allocate(4 + length)
                    .putInt(length)
                    .put((byte) key.length)
                    .put(key)
                    .put(entry.value())
                    .array());
        }
        return out.toByteArray();
    }

    private static void append(List<Entry> log, byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        int length = buffer.getInt();
        byte[] key = new byte[buffer.get()];
        buffer.get(key);
        byte[] value = new byte[length - 1 - key.length];
        buffer.get(value);
        log.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
    }

    private void respond(CallerResponse answer, HttpResponseStatus status, byte[] body) {
        answer.complete(status, new DefaultHttpHeaders(false).set("Store-Era", era), body);
    }
}
