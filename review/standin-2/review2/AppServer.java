package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A server of a plain service: registers itself in the store and answers every request at once. */
final class AppServer implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_200;

    /** A request that the server ran. */
    record Run(String id, String tenant, String path, long atMillis) {}

    private final String id;
    private final String service;
    private final String zone;
    private final Store store;
    private final Record record;
    private final Listener listener;
    private final long bornMillis = System.currentTimeMillis();
    private final List<Run> runs = new ArrayList<>();
    private final int answerBytes;
    private volatile boolean isClosed;

    AppServer(String id, String service, String zone, Store store, Record record) throws Exception {
        this(id, service, zone, store, record, 0);
    }

    /** Starts a server whose answers to requests for {@code /large-} paths have at least {@code answerBytes}. */
    AppServer(String id, String service, String zone, Store store, Record record, int answerBytes) throws Exception {
        this.answerBytes = answerBytes;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        this.listener = new Listener("127.0.0.1", 0, this::serve);
        Listener.start(this::beat);
    }

    private void beat() {
        for (int sequence = 1; !isClosed; sequence++) {
            store.put(
                    "keyed.servers",
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + listener.address() + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":"
                            + bornMillis + ",\"sequence\":" + sequence + "}");
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private void serve(Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            Http.Head head = Http.readHead(in);
            if (head == null) {
                return;
            }
            Http.readBody(in, head);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Instance-Id", id);
            String expected = head.header("x-expected-instance");
            if (expected != null && !expected.equals(id)) {
                out.write(Http.response("421 Misdirected Request", headers, new byte[0]));
                continue;
            }
            String attempt = head.header("x-attempt-id");
            Run run = new Run(attempt, head.header("x-tenant"), head.word(1), record.nowMillis());
            synchronized (this) {
                runs.add(run);
            }
            record.line("%s runs %s of tenant %s", id, attempt, run.tenant());
            headers.put("X-Attempt-Id", attempt);
            headers.put("X-Response-Signature", id + "." + attempt);
            StringBuilder answer = new StringBuilder("read " + attempt);
            while (head.word(1).contains("/large-") && answer.length() < answerBytes) {
                answer.append(" and ").append(attempt);
            }
            out.write(Http.response("200 OK", headers, answer.toString().getBytes()));
        }
    }

    @Override
    public void close() throws Exception {
        isClosed = true;
        listener.close();
    }
}
