package org.jasminehub.app.session;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.jasminehub.platform.http.Address;

/** An engine that reports no load and writes the bytes of a test in response to every other request. */
final class RawEngine implements AutoCloseable {
    private static final String LOAD = "{\"queuedRequests\":0,\"runningRequests\":0,\"capacityRequests\":8,"
            + "\"stepMillis\":5.0,\"prefillTokensPerSecond\":1000.0,\"ageMillis\":0}";

    /** Writes the response to a request; the connection is closed afterwards. */
    @FunctionalInterface
    interface Reply {
        /** Writes to {@code socket} until it returns or the agent closes the connection. */
        void write(Socket socket) throws IOException;
    }

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private volatile Reply reply = socket -> {};

    RawEngine() throws IOException {
        startThread(this::accept);
    }

    Address address() {
        return new Address("127.0.0.1", listener.getLocalPort());
    }

    void replyWith(Reply next) {
        reply = next;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            if (head.startsWith("GET /v1/load")) {
                write(
                        socket,
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                                + LOAD.length() + "\r\n\r\n" + LOAD);
            } else if (!head.isEmpty()) {
                reply.write(socket);
            }
        } catch (IOException e) {
            // The agent has closed the connection.
        }
    }

    /** Returns the head of a request whose body has been read, too. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int value = in.read();
            if (value < 0) {
                return "";
            }
            head.append((char) value);
        }
        for (String line : head.toString().split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                in.readNBytes(
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()));
            }
        }
        return head.toString();
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "raw-engine");
        thread.setDaemon(true);
        thread.start();
    }
}
