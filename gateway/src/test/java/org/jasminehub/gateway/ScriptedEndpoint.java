package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** An endpoint that answers each request by the next line of its script, over real sockets. */
final class ScriptedEndpoint implements AutoCloseable {
    /** What to do with one request on an open connection. */
    @FunctionalInterface
    interface Reply {
        /** Writes an answer, or does not; returns whether the connection stays open. */
        boolean answer(Request request, Socket socket) throws IOException;
    }

    /** A request as it came: its head in lower case for look-ups, and its body. */
    record Request(String head, String body) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }
    }

    private final ServerSocket listener;
    private final Queue<Reply> script;
    private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> closes = new LinkedBlockingQueue<>();

    /** Starts an endpoint that takes its replies from {@code script}, which others may share. */
    ScriptedEndpoint(Queue<Reply> script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::accept, "endpoint");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The requests that came, in order. */
    BlockingQueue<Request> requests() {
        return requests;
    }

    /** One entry for each connection that the other side closed. */
    BlockingQueue<Boolean> closes() {
        return closes;
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** A whole signed answer. */
    static Reply ok(String body) {
        return (request, socket) -> {
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nX-Response-Signature: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        };
    }

    /** Ends the connection with a reset. */
    static Reply reset() {
        return (request, socket) -> {
            socket.setSoLinger(true, 0);
            return false;
        };
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "endpoint-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            boolean isOpen = true;
            while (isOpen) {
                Request request = read(socket.getInputStream());
                if (request == null) {
                    closes.add(true);
                    return;
                }
                requests.add(request);
                Reply reply = script.poll();
                isOpen = reply == null || reply.answer(request, socket);
            }
        } catch (IOException e) {
            closes.add(true);
        }
    }

    private static Request read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int value = in.read();
            if (value < 0) {
                return null;
            }
            head.append((char) value);
        }
        Request bare = new Request(head.toString(), "");
        String length = bare.header("content-length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return new Request(head.toString(), new String(body, StandardCharsets.UTF_8));
    }

    /** Closes a socket whose failure to close matters to nobody. */
    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
