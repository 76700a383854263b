package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one request at a time on a kept channel, and opens a new one when it ends. */
final class Caller implements AutoCloseable {
    /** A whole answer; the status is 0 if the channel ended without one. */
    record Answer(int status, boolean isSigned, String body) {}

    private final InetSocketAddress address;
    private Socket socket;
    private InputStream in;

    Caller(InetSocketAddress address) {
        this.address = address;
    }

    /** Returns whether the next request goes out on the channel of the last one. */
    boolean isOpen() {
        return socket != null && !socket.isClosed();
    }

    /** Sends a request without a body and reads the answer. */
    Answer get(String path, String host, String id, String key, long budgetMillis) {
        return send("GET", path, host, id, key, budgetMillis);
    }

    /** Sends a request with an empty body and reads the answer. */
    Answer post(String path, String host, String id, long budgetMillis) {
        return send("POST", path, host, id, null, budgetMillis);
    }

    private Answer send(String method, String path, String host, String id, String key, long budgetMillis) {
        try {
            if (socket == null || socket.isClosed()) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(address, 1_000);
                socket.setSoTimeout(10_000);
                in = new BufferedInputStream(socket.getInputStream());
            }
            String request = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\n"
                    + "X-Deadline-Milliseconds: " + budgetMillis + "\r\n"
                    + (method.equals("POST") ? "Content-Length: 0\r\n" : "")
                    + (key == null ? "" : "Authorization: Bearer " + key + "\r\n") + "\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http.Head head = Http.readHead(in);
            if (head == null) {
                close();
                return new Answer(0, false, "");
            }
            byte[] body = Http.readBody(in, head);
            if ("close".equalsIgnoreCase(head.header("connection"))) {
                close();
            }
            return new Answer(
                    head.status(),
                    head.header("x-response-signature") != null,
                    new String(body, StandardCharsets.UTF_8));
        } catch (IOException e) {
            close();
            return new Answer(0, false, "");
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
        socket = null;
    }
}
