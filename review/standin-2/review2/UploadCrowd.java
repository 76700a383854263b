package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * Some clients send bodies within the limits of the configuration, while others place orders on kept channels. In a burst
 * there are 1.7 times as many of both for 3 s. Servers answer every request whole and at once.
 */
final class UploadCrowd extends Case {
    private static final String HOST = "reads.example";
    private static final int ANSWER_BYTES = 40_000;
    private static final int BUYERS = 8;
    private static final int UPLOADERS = 36;

    /** The burst of the site's days: 1.7 times the traffic for 3 s; each part is rounded down. */
    private static final int BUYERS_IN_BURST = 13;
    private static final int UPLOADERS_IN_BURST = 61;

    private static final long BURST_MILLIS = 3_000;
    private static final int BODY_LIMIT_BYTES = 4_194_304;

    /** Ten of 36 uploads have the largest body that the limits allow, the others are small. */
    private static final int[] SMALL_BODY_BYTES = {60_000, 90_000, 120_000};

    private static final int LARGE_OF_36 = 10;

    /** Each upload takes this long, within {@code idle_timeout_ms} of 15 s and within a burst. */
    private static final long UPLOAD_MILLIS = 1_200;

    private static final long PIECE_INTERVAL_MILLIS = 100;
    private static final long ORDER_INTERVAL_MILLIS = 200;
    private static final long CALM_MILLIS = 8_000;

    /** The rule allows three. */
    private static final int ALLOWED = 3;

    private final Store store = use(new Store());
    private final List<AppServer> servers = new ArrayList<>();
    private final Set<String> unanswered = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger uploaded = new AtomicInteger();
    private final AtomicInteger uploadsRefused = new AtomicInteger();
    private volatile boolean isOver;

    private UploadCrowd(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new UploadCrowd(Path.of(args[0])).runAndExit();
    }

    private static String route(String name, String kind, int attempts, int timeoutMillis) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":386,\"priority\":2,\"service\":\"reads\","
                + "\"attempts\":" + attempts + ",\"public\":true}";
    }

    @Override
    boolean run() throws Exception {
        store.put("keyed.op", "config",
                "{\"version\":1,\"routes\":[" + route("reads", "safe", 2, 2_000) + ","
                        + route("uploads", "unsafe", 1, 2_000) + "," + route("orders", "unsafe", 1, 2_000)
                        + "],\"services\":[{\"name\":\"reads\",\"health_path\":\"/health\",\"connection_limit\":100,"
                        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"header_bytes\":16384,\"body_bytes\":"
                        + BODY_LIMIT_BYTES + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        for (int index = 0; index < 3; index++) {
            servers.add(use(new AppServer("i-" + index, "reads", "zone-" + index, store, record, ANSWER_BYTES)));
        }
        Program entry = use(Program.entry("front-0", nextHost(), "zone-0", store.open().address(), temporary()));
        entry.awaitReady(30_000);
        List<Thread> threads = new ArrayList<>();
        for (int index = 0; index < UPLOADERS; index++) {
            int number = index;
            threads.add(Listener.start(() -> {
                pause(number * UPLOAD_MILLIS / UPLOADERS);
                upload(entry, number, Long.MAX_VALUE);
            }));
        }
        for (int index = 0; index < BUYERS; index++) {
            int number = index;
            threads.add(Listener.start(() -> order(entry, number, Long.MAX_VALUE)));
        }
        Thread.sleep(CALM_MILLIS);
        if (hasTrouble) {
            record.line("the burst begins");
            long untilMillis = record.nowMillis() + BURST_MILLIS;
            for (int index = UPLOADERS; index < UPLOADERS_IN_BURST; index++) {
                int number = index;
                threads.add(Listener.start(() -> upload(entry, number, untilMillis)));
            }
            for (int index = BUYERS; index < BUYERS_IN_BURST; index++) {
                int number = index;
                threads.add(Listener.start(() -> order(entry, number, untilMillis)));
            }
        }
        Thread.sleep(BURST_MILLIS);
        record.line("the burst is over");
        Thread.sleep(CALM_MILLIS);
        isOver = true;
        for (Thread thread : threads) {
            thread.join(12_000);
        }
        Set<String> ran = servers.stream()
                .flatMap(server -> server.runs().stream())
                .map(AppServer.Run::id)
                .collect(Collectors.toSet());
        unanswered.retainAll(ran);
        unanswered.stream().sorted().limit(5).forEach(id -> record.say(
                "%s was sent on a kept channel, a server answered it whole, and the channel ended without an answer", id));
        record.say("orders: %d answered whole, %d refused, %d run by a server and not answered; uploads: %d answered, %d"
                + " refused", answered.get(), refused.get(), unanswered.size(), uploaded.get(), uploadsRefused.get());
        if (answered.get() == 0 || !entry.isRunning()) {
            throw new IllegalStateException("no order was answered");
        }
        return unanswered.size() <= ALLOWED;
    }

    /** Sends a read with a small answer, which makes the channel a kept one, and then an order with a larger answer. */
    private void order(Program entry, int number, long untilMillis) {
        Caller caller = use(new Caller(entry.address("front")));
        for (int count = 0; !isOver && record.nowMillis() < untilMillis; count++) {
            String read = "read-" + number + "-" + count;
            caller.get("/reads/" + read, HOST, read, null, 1_500);
            String order = "order-" + number + "-" + count;
            boolean isKept = caller.isOpen();
            Caller.Answer answer = caller.post("/orders/large-" + order, HOST, order, 1_500);
            record.line("%s on a %s channel got %d with %d bytes", order, isKept ? "kept" : "new", answer.status(),
                    answer.body().length());
            if (answer.status() == 200) {
                answered.incrementAndGet();
            } else if (answer.status() > 0) {
                refused.incrementAndGet();
            } else if (isKept) {
                unanswered.add(order);
            }
            pause(ORDER_INTERVAL_MILLIS);
        }
    }

    private void upload(Program entry, int number, long untilMillis) {
        for (int count = 0; !isOver && record.nowMillis() + UPLOAD_MILLIS < untilMillis; count++) {
            String id = "upload-" + number + "-" + count;
            int bytes = number * LARGE_OF_36 % UPLOADERS < LARGE_OF_36
                    ? BODY_LIMIT_BYTES
                    : SMALL_BODY_BYTES[number % SMALL_BODY_BYTES.length];
            int status = upload(entry, id, bytes);
            record.line("%s of %d bytes got %d", id, bytes, status);
            (status == 200 ? uploaded : uploadsRefused).incrementAndGet();
            // The longest Retry-After of a refusal for lack of memory.
            pause(status == 200 ? 10 : 1_000);
        }
    }

    private int upload(Program entry, String id, int bytes) {
        try (Socket socket = new Socket()) {
            socket.connect(entry.address("front"), 1_000);
            socket.setSoTimeout(5_000);
            OutputStream out = socket.getOutputStream();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            out.write(("POST /uploads/" + id + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id
                            + "\r\nX-Deadline-Milliseconds: 15000\r\nContent-Length: " + bytes + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            int pieces = (int) (UPLOAD_MILLIS / PIECE_INTERVAL_MILLIS);
            int sent = 0;
            for (int piece = 1; piece <= pieces && in.available() == 0 && !isOver; piece++) {
                int until = (int) ((long) bytes * piece / pieces);
                out.write(new byte[until - sent]);
                sent = until;
                pause(piece < pieces ? PIECE_INTERVAL_MILLIS : 0);
            }
            Http.Head head = Http.readHead(in);
            return head == null ? 0 : head.status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
