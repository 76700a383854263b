package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The platform's store as PROTOCOL.md describes it: keyed logs with one partition, reads that wait for a record and
 * return at most {@code max_kilobytes}, and the newest record of each key in pages. Each machine has an address of its
 * own, at which the store can turn that machine away with 503 while it serves the others and the operator.
 */
final class Store implements AutoCloseable {
    private static final long ANSWER_MILLIS = 4;
    private static final int DEFAULT_READ_KILOBYTES = 1_024;
    private static final long READ_BYTES_PER_MILLI = 80_000;
    private static final int MAX_RECORD_BYTES = 262_144;
    private static final int MAX_PAGE_ITEMS = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;

    private record Entry(String key, byte[] value) {
        byte[] encoded() {
            byte[] name = key.getBytes(StandardCharsets.UTF_8);
            int length = 1 + name.length + value.length;
            return ByteBuffer.allocate(4 + length)
                    .putInt(length)
                    .put((byte) name.length)
                    .put(name)
                    .put(value)
                    .array();
        }
    }

    private final Map<String, List<Entry>> logs = new HashMap<>();
    private final List<Listener> listeners = new ArrayList<>();
    private final long era = 1;

    /** The access of one machine to the store. */
    final class Access {
        private final AtomicBoolean isTurnedAway = new AtomicBoolean();
        private final Listener listener;

        private Access() throws IOException {
            listener = new Listener("127.0.0.1", 0, socket -> Store.this.serve(socket, isTurnedAway));
        }

        String address() {
            return listener.address();
        }

        /** Starts or ends the time in which the store turns the machine away. */
        void setTurnedAway(boolean isAway) {
            synchronized (Store.this) {
                isTurnedAway.set(isAway);
                Store.this.notifyAll();
            }
        }
    }

    /** Opens an address for one machine. */
    synchronized Access open() throws IOException {
        Access access = new Access();
        listeners.add(access.listener);
        return access;
    }

    /** Appends a record as the operator or a server does; a null value removes the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        Entry entry = new Entry(key, bytes);
        if (entry.encoded().length - 4 > MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("a record of " + entry.encoded().length + " bytes is too large");
        }
        log(topic).add(entry);
        notifyAll();
    }

    private List<Entry> log(String topic) {
        return logs.computeIfAbsent(topic, each -> new ArrayList<>());
    }

    private void serve(Socket socket, AtomicBoolean isTurnedAway) throws Exception {
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        while (true) {
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return;
            }
            byte[] body = Http.readBody(in, head);
            byte[] answer = answer(head, body, isTurnedAway);
            Thread.sleep(ANSWER_MILLIS + answer.length / READ_BYTES_PER_MILLI);
            socket.getOutputStream().write(answer);
        }
    }

    private synchronized byte[] answer(Http.Head head, byte[] body, AtomicBoolean isTurnedAway)
            throws InterruptedException {
        String target = head.word(1);
        String topic = Http.parameter(target, "topic", "");
        if (isTurnedAway.get()) {
            return respond("503 Service Unavailable", new byte[0]);
        }
        if (target.startsWith("/log-append")) {
            return append(topic, body);
        }
        if (target.startsWith("/log-newest")) {
            return respond("200 OK", newest(topic, Http.parameter(target, "after", null)));
        }
        if (target.startsWith("/log-read")) {
            return read(target, topic, isTurnedAway);
        }
        return respond("404 Not Found", new byte[0]);
    }

    private byte[] append(String topic, byte[] body) {
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            return respond("403 Forbidden", new byte[0]);
        }
        long offset = log(topic).size();
        ByteBuffer records = ByteBuffer.wrap(body);
        while (records.hasRemaining()) {
            byte[] record = new byte[records.getInt()];
            records.get(record);
            int keyLength = record[0] & 0xff;
            byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
            log(topic).add(new Entry(new String(record, 1, keyLength, StandardCharsets.UTF_8), value));
        }
        notifyAll();
        return respond("200 OK", ("{\"offset\":" + offset + ",\"end\":" + log(topic).size() + "}").getBytes());
    }

    private byte[] newest(String topic, String after) {
        Map<String, Integer> offsets = new TreeMap<>();
        List<Entry> log = log(topic);
        for (int offset = 0; offset < log.size(); offset++) {
            if (log.get(offset).value().length > 0) {
                offsets.put(log.get(offset).key(), offset);
            } else {
                offsets.remove(log.get(offset).key());
            }
        }
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean hasMore = false;
        for (Map.Entry<String, Integer> each : offsets.entrySet()) {
            if (after != null && each.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (count >= MAX_PAGE_ITEMS || items.length() > MAX_PAGE_BYTES) {
                hasMore = true;
                break;
            }
            items.append(count == 0 ? "" : ",")
                    .append("{\"key\":\"")
                    .append(each.getKey())
                    .append("\",\"value\":\"")
                    .append(Base64.getEncoder()
                            .encodeToString(log.get(each.getValue()).value()))
                    .append("\",\"offset\":")
                    .append(each.getValue())
                    .append('}');
            count++;
        }
        return ("{\"items\":[" + items + "],\"has_more\":" + hasMore + ",\"end\":" + log.size() + "}").getBytes();
    }

    private byte[] read(String target, String topic, AtomicBoolean isTurnedAway) throws InterruptedException {
        int from = Integer.parseInt(Http.parameter(target, "from", "0"));
        long waitMillis = Long.parseLong(Http.parameter(target, "wait_ms", "0"));
        long maxBytes = 1_024L
                * Integer.parseInt(Http.parameter(target, "max_kilobytes", Integer.toString(DEFAULT_READ_KILOBYTES)));
        long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
        List<Entry> log = log(topic);
        if (from > log.size()) {
            return respond("410 Gone", "{\"first\":0}".getBytes());
        }
        while (from == log.size() && System.nanoTime() < untilNanos && !isTurnedAway.get()) {
            wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
        }
        if (isTurnedAway.get()) {
            return respond("503 Service Unavailable", new byte[0]);
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
        for (int offset = from; offset < log.size(); offset++) {
            byte[] record = log.get(offset).encoded();
            if (offset > from && out.size() + record.length > maxBytes) {
                break;
            }
            out.writeBytes(record);
        }
        return respond("200 OK", out.toByteArray());
    }

    private byte[] respond(String status, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Store-Era", Long.toString(era));
        headers.put("Content-Type", "application/json");
        return Http.response(status, headers, body);
    }

    @Override
    public void close() throws IOException {
        for (Listener listener : listeners) {
            listener.close();
        }
    }
}
