package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients upload bodies of the allowed size while others, on kept channels, get answers of a moderate size. */
final class Uploads {
    private static final int MAX_CLOSED = 3;
    private static final String KEY = "key-1";

    /** The sizes of the uploads in turn. */
    private static final int[] BODY_BYTES = {2 << 20, 64 << 10, 2 << 20, 96 << 10, 2 << 20, 48 << 10};

    private static final int PIECE_BYTES = 64 << 10;
    private static final long PIECE_INTERVAL_MILLIS = 100;
    private static final int UPLOADERS = 80;
    private static final long UPLOADS_FOR_MILLIS = 5_000;
    private static final int ANSWER_BYTES = 64 << 10;
    private static final int CLIENTS = 10;
    private static final long LENGTH_MILLIS = 10_000;

    private final Record record;
    private final boolean hasTrouble;
    private final AtomicInteger nextId = new AtomicInteger(1_000_000);
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger closedAfterRun = new AtomicInteger();
    private final AtomicInteger uploaded = new AtomicInteger();
    private final AtomicInteger uploadsRefused = new AtomicInteger();
    private volatile long startMillis;

    private Uploads(Record record, boolean hasTrouble) {
        this.record = record;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path directory = Files.createTempDirectory("review-uploads");
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            try {
                code = new Uploads(record, !"0".equals(System.getenv("TROUBLE"))).play(directory);
            } catch (Exception e) {
                record.add("the case could not run: %s", e);
            }
            record.add("exit %d", code);
        }
        System.exit(code);
    }

    private static String config() {
        return "{\"version\":1000,\"routes\":["
                + "{\"name\":\"r-1\",\"host\":\"shop.example\",\"path_prefix\":\"/orders/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"orders\",\"attempts\":1,"
                + "\"public\":false}],"
                + "\"services\":[{\"name\":\"orders\",\"health_path\":\"/health\",\"connection_limit\":100}],"
                + "\"limits\":{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"" + KEY + "\"]}]}";
    }

    private boolean order(Backend server, Http.Message request, Socket connection, OutputStream out) throws Exception {
        boolean isUpload = request.body().length > 600;
        ran.add(request.field("X-Attempt-Id"));
        Backend.sleep(60);
        Http.respond(out, 200, server.fields(request), Backend.body(isUpload ? 800 : ANSWER_BYTES));
        return true;
    }

    private String head(String id, int length) {
        return "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Milliseconds: 4011\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: " + length
                + "\r\n\r\n";
    }

    /** Uploads one body after the other, and returns after a refusal when it is told to. */
    private void upload(Entry entry) {
        byte[] piece = Backend.body(PIECE_BYTES);
        while (record.millis() < startMillis + UPLOADS_FOR_MILLIS) {
            int number = nextId.getAndIncrement();
            String id = "u" + number;
            int bodyBytes = BODY_BYTES[number % BODY_BYTES.length];
            long waitMillis = 500;
            try (Socket socket = Http.connect(entry.callerAddress(), 1_000)) {
                OutputStream out = socket.getOutputStream();
                InputStream in = new BufferedInputStream(socket.getInputStream());
                out.write(head(id, bodyBytes).getBytes(StandardCharsets.ISO_8859_1));
                for (int sent = 0; sent < bodyBytes && in.available() == 0; sent += PIECE_BYTES) {
                    out.write(piece);
                    Backend.sleep(PIECE_INTERVAL_MILLIS);
                }
                Http.Message answer = Http.read(in, true);
                record.add("upload %s: %d", id, answer.status());
                (answer.status() == 200 ? uploaded : uploadsRefused).incrementAndGet();
                if (answer.field("Retry-After") != null) {
                    waitMillis = (long) (1_000 * Double.parseDouble(answer.field("Retry-After")));
                }
            } catch (IOException e) {
                record.add("upload %s: closed, %s", id, e);
            }
            Backend.sleep(waitMillis);
        }
    }

    /** Sends orders over a kept channel, and a new one whenever it is closed. */
    private void orders(Entry entry) {
        while (record.millis() < startMillis + LENGTH_MILLIS) {
            int answers = 0;
            String id = "";
            try (Socket socket = Http.connect(entry.callerAddress(), 1_000)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (record.millis() < startMillis + LENGTH_MILLIS) {
                    id = "o" + nextId.getAndIncrement();
                    socket.getOutputStream()
                            .write((head(id, 600) + "b".repeat(600)).getBytes(StandardCharsets.ISO_8859_1));
                    Http.Message answer = Http.read(in, true);
                    answers++;
                    (answer.status() == 200 ? served : refused).incrementAndGet();
                    if (answer.status() != 200) {
                        record.add("order %s: %d", id, answer.status());
                    }
                    if ("close".equalsIgnoreCase(answer.field("Connection"))) {
                        break;
                    }
                    Backend.sleep(100);
                }
            } catch (IOException e) {
                boolean hasRun = ran.contains(id);
                record.add(
                        "order %s on a channel with %d answers: closed without an answer, %s",
                        id, answers, hasRun ? "it has run" : "it has not run");
                if (hasRun && answers > 0) {
                    closedAfterRun.incrementAndGet();
                }
            }
        }
    }

    private int play(Path directory) throws Exception {
        String net = "127." + (10 + (int) (ProcessHandle.current().pid() % 200)) + "."
                + (1 + (int) (System.nanoTime() / 1_000 % 250)) + ".";
        Store store = new Store(net + "1");
        store.put(Store.OPERATOR, "config", config());
        for (int server = 0; server < 3; server++) {
            new Backend(store, net + (11 + server), "i-orders-" + server, "orders", 6, record, this::order);
        }
        Entry entry = new Entry(
                "front-zone-a-1", net + "21", store.address(), List.of(net + "21:8229"), directory, Map.of());
        entry.start();
        if (!entry.awaitReady(20_000)) {
            record.add("the instance is not ready");
            return 2;
        }
        startMillis = record.millis();
        for (int client = 0; client < CLIENTS; client++) {
            Http.thread(() -> orders(entry));
        }
        Backend.sleep(1_000);
        for (int client = 0; hasTrouble && client < UPLOADERS; client++) {
            Http.thread(() -> upload(entry));
            Backend.sleep(20);
        }
        Backend.sleep(startMillis + LENGTH_MILLIS + 4_500 - record.millis());
        record.add("uploads: %d served, %d refused", uploaded.get(), uploadsRefused.get());
        record.add(
                "orders: %d served, %d refused; LOST: %d were passed on from a kept channel, which was closed without an"
                        + " answer",
                served.get(), refused.get(), closedAfterRun.get());
        if (served.get() < 20) {
            return 2;
        }
        return closedAfterRun.get() > MAX_CLOSED ? 1 : 0;
    }
}
