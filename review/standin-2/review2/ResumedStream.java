package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The channel of a client is reset in the middle of a stream, and the client resumes it with {@code Last-Event-Id}. The ids
 * of the events increase by one and are 64-bit numbers that begin with the time.
 */
final class ResumedStream extends Case {
    private static final String HOST = "drafts.example";
    private static final int STREAMS = 60;

    /** One of ten instances has the channels of its clients reset, every second one of them. */
    private static final int INSTANCES = 10;

    private static final int STREAMS_BETWEEN_RESETS = 2 * INSTANCES;
    private static final int EVENTS_BEFORE_RESET = 8;

    /** The bits of an id below the time. */
    private static final int SEQUENCE_BITS = 22;

    private final Store store = use(new Store());

    private ResumedStream(Path folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        new ResumedStream(Path.of(args[0])).runAndExit();
    }

    @Override
    boolean run() throws Exception {
        store.put("keyed.op", "config",
                "{\"version\":1,\"routes\":[{\"name\":\"r-drafts\",\"host\":\"" + HOST
                        + "\",\"path_prefix\":\"/drafts/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
                        + "\"target_latency_ms\":501,\"priority\":1,\"service\":\"writers\",\"attempts\":2,"
                        + "\"public\":true,\"session_affinity\":true,\"resume_streams\":true,\"gap_aim_ms\":120}],"
                        + "\"services\":[{\"name\":\"writers\",\"health_path\":\"/health\",\"connection_limit\":248,"
                        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"header_bytes\":16384,"
                        + "\"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
        use(new StreamServer("i-writer-0", "writers", store, record));
        use(new StreamServer("i-writer-1", "writers", store, record));
        List<Program> entries = new ArrayList<>();
        for (int index = 0; index < INSTANCES; index++) {
            entries.add(use(Program.entry(
                    "front-" + index, nextHost(), "zone-" + index % 3, store.open().address(), temporary())));
        }
        List<Proxy> proxies = new ArrayList<>();
        for (Program entry : entries) {
            entry.awaitReady(30_000);
            proxies.add(use(new Proxy(entry.address("front"))));
        }
        int broken = 0;
        int whole = 0;
        for (int stream = 0; stream < STREAMS; stream++) {
            long base = System.currentTimeMillis() << SEQUENCE_BITS;
            boolean isReset = hasTrouble && stream % STREAMS_BETWEEN_RESETS == 0;
            List<Long> pieces = readStream(proxies.get(stream % INSTANCES), "s" + stream, base, isReset);
            if (pieces == null) {
                record.say("stream %d did not end", stream);
                continue;
            }
            List<Long> expected = new ArrayList<>();
            for (long piece = 1; piece <= StreamServer.EVENTS; piece++) {
                expected.add(piece);
            }
            if (pieces.equals(expected)) {
                whole++;
            } else {
                broken++;
                record.say("stream %d ended as complete with the pieces %s", stream, pieces);
            }
        }
        record.say("%d streams ended with every piece once, %d did not", whole, broken);
        if (whole + broken == 0) {
            throw new IllegalStateException("no stream ended");
        }
        return broken == 0;
    }

    /** Returns the pieces that the client got until the stream ended as complete, null if it never did. */
    private List<Long> readStream(Proxy proxy, String name, long base, boolean isReset) throws Exception {
        List<Long> pieces = new ArrayList<>();
        for (int attempt = 0; attempt < 2; attempt++) {
            Long last = pieces.isEmpty() ? null : base + pieces.get(pieces.size() - 1);
            String id = name + "-" + attempt;
            record.line("%s is sent with Last-Event-Id %s", id, last);
            if (read(proxy, id, base, last, pieces, isReset && attempt == 0)) {
                record.line("%s ended as complete; the client has %s", id, pieces);
                return pieces;
            }
            record.line("%s was cut; the client has %s", id, pieces);
        }
        return null;
    }

    private boolean read(Proxy proxy, String id, long base, Long last, List<Long> pieces, boolean isReset)
            throws Exception {
        InetSocketAddress address = proxy.address();
        try (Socket socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setSoTimeout(2_000);
            String body = "{\"draft\":true}";
            socket.getOutputStream()
                    .write(("POST /drafts/" + base + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id + "\r\n"
                                    + (last == null ? "" : "Last-Event-Id: " + last + "\r\n")
                                    + "X-Model: m\r\nX-Token-Counts: 700,96\r\n"
                                    + "X-Prompt-Prefix: 5c1e07a2:40,91bd3f06:660\r\n"
                                    + "X-Deadline-Milliseconds: 8017\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                    + body)
                            .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            if (head == null || head.status() != 200) {
                record.line("%s got %s", id, head == null ? "no answer" : head.firstLine());
                return false;
            }
            StringBuilder text = new StringBuilder();
            for (byte[] chunk = Http.readChunk(in); chunk != null; chunk = Http.readChunk(in)) {
                text.append(new String(chunk, StandardCharsets.UTF_8));
                for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                    String event = text.substring(0, end);
                    text.delete(0, end + 2);
                    pieces.add(Long.parseLong(event.substring(event.indexOf("piece ") + 6)));
                    if (isReset && pieces.size() == EVENTS_BEFORE_RESET) {
                        proxy.resetAll();
                    }
                }
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
