package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A sound server of one service: checks the expected instance, runs each request, echoes its id and signs the answer. It
 * registers itself in the store and writes there at every heartbeat.
 */
final class Backend {
    static final long HEARTBEAT_MILLIS = 1_200;

    /** Runs one request and writes the answer; returns whether the connection stays open. */
    @FunctionalInterface
    interface Run {
        boolean run(Backend server, Http.Message request, Socket connection, OutputStream out) throws Exception;
    }

    private final Store store;
    private final String service;
    private final int slots;
    private final Record record;
    private final Run run;
    private final Http.Server server;
    private final String baseId;
    private volatile String id;
    private volatile long bornMillis;
    private volatile boolean isUp = true;
    private int starts;

    Backend(Store store, String host, String id, String service, int slots, Record record, Run run)
            throws IOException {
        this.store = store;
        this.service = service;
        this.slots = slots;
        this.record = record;
        this.run = run;
        this.baseId = id;
        begin();
        this.server = new Http.Server(host, this::handle);
        register();
        Http.thread(() -> {
            while (true) {
                sleep(HEARTBEAT_MILLIS);
                if (isUp) {
                    register();
                }
            }
        });
    }

    private void begin() {
        starts++;
        id = baseId + "-" + starts;
        bornMillis = System.currentTimeMillis();
    }

    String id() {
        return id;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes the entry of this server into the store. */
    void register() {
        store.put(
                Store.SERVERS,
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address()
                        + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + bornMillis
                        + ",\"sequence\":" + starts + "}");
    }

    /** Ends the process of this server at once; it is back, as a new incarnation, after {@code downMillis}. */
    synchronized void crash(long downMillis) throws IOException {
        if (!isUp) {
            return;
        }
        isUp = false;
        String ended = id;
        record.add("server %s crashes", ended);
        server.crash();
        Http.thread(() -> {
            sleep(downMillis);
            // The entry of a server that fell silent is removed.
            store.put(Store.SERVERS, ended, "");
            begin();
            try {
                server.open();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            isUp = true;
            register();
            record.add("server %s is up", id);
        });
    }

    boolean isUp() {
        return isUp;
    }

    private boolean handle(Http.Message request, Socket connection, OutputStream out) throws Exception {
        String expected = request.field("X-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.respond(out, 421, "X-Not-Executed: 1\r\nX-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        return run.run(this, request, connection, out);
    }

    /** Returns the fields that each answer of this server has. */
    String fields(Http.Message request) {
        return "X-Attempt-Id: " + request.field("X-Attempt-Id") + "\r\nX-Response-Signature: " + id + "."
                + request.field("X-Attempt-Id") + "\r\nX-Instance-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
    }

    static byte[] body(int size) {
        return "b".repeat(size).getBytes(StandardCharsets.US_ASCII);
    }
}
