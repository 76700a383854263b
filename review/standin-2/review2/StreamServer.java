package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A server of a streaming service. The path of a request names the number before the id of its first event; the ids of the
 * events follow each other. A request with {@code Last-Event-Id} continues after that event.
 */
final class StreamServer implements AutoCloseable {
    static final int EVENTS = 24;
    private static final long EVENT_INTERVAL_MILLIS = 20;
    private static final long HEARTBEAT_MILLIS = 1_200;

    private final String id;
    private final String service;
    private final Store store;
    private final Record record;
    private final Listener listener;
    private final long bornMillis = System.currentTimeMillis();
    private volatile boolean isClosed;

    StreamServer(String id, String service, Store store, Record record) throws Exception {
        this.id = id;
        this.service = service;
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
                    "{\"service\":\"" + service + "\",\"address\":\"" + listener.address()
                            + "\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                            + "\"cold_remaining_ms\":0,\"born\":" + bornMillis + ",\"sequence\":" + sequence + "}");
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
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
            String attempt = head.header("x-attempt-id");
            if (!id.equals(head.header("x-expected-instance"))) {
                out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                                + "\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                continue;
            }
            String path = head.word(1);
            long base = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            String last = head.header("last-event-id");
            long from = last == null ? base : Long.parseLong(last);
            record.line("%s runs %s from after event %d of %d (Last-Event-Id: %s)", id, attempt, from - base, EVENTS, last);
            out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt
                            + "\r\nX-Instance-Id: " + id
                            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            for (long event = Math.max(base, from) + 1; event <= base + EVENTS; event++) {
                String text = "id: " + event + "\ndata: piece " + (event - base) + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(EVENT_INTERVAL_MILLIS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    @Override
    public void close() throws Exception {
        isClosed = true;
        listener.close();
    }
}
