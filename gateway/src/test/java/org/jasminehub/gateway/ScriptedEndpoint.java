package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** An endpoint that answers each request with the next reply of its script, over real sockets. */
final class ScriptedEndpoint implements AutoCloseable {
    /** The reply to one request on an open connection. */
    @FunctionalInterface
    interface Reply {
        /** Writes a response or nothing; returns whether the connection stays open. */
        boolean answer(Request request, Socket socket) throws IOException;
    }

    /** A received request. */
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

    /** Leaves no room for a large body in the buffers of the operating system, so that its sender has to wait. */
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 << 10;

    private static final int DEFAULT_RECEIVE_BUFFER_BYTES = 0;

    private static final int BACKLOG = 50;

    private final ServerSocket listener;
    private final Queue<Reply> script;
    private final boolean isBodyRead;
    private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> closes = new LinkedBlockingQueue<>();
    private final Thread acceptor;
    private final AtomicInteger openConnections = new AtomicInteger();

    /** Starts an endpoint that takes its replies from {@code script}, which may be shared with other endpoints. */
    ScriptedEndpoint(Queue<Reply> script) throws IOException {
        this(script, DEFAULT_RECEIVE_BUFFER_BYTES, true);
    }

    private ScriptedEndpoint(Queue<Reply> script, int receiveBufferBytes, boolean isBodyRead) throws IOException {
        this.script = script;
        this.isBodyRead = isBodyRead;
        listener = new ServerSocket();
        if (receiveBufferBytes != DEFAULT_RECEIVE_BUFFER_BYTES) {
            // Has no effect on accepted connections unless it is set before the socket is bound.
            listener.setReceiveBufferSize(receiveBufferBytes);
        }
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        acceptor = new Thread(this::accept, "endpoint");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Starts an endpoint whose replies begin before the body of the request is read, which is left to them. */
    static ScriptedEndpoint replyingEarly(Queue<Reply> script) throws IOException {
        return new ScriptedEndpoint(script, SMALL_RECEIVE_BUFFER_BYTES, false);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the queue of received requests, in order of arrival. */
    BlockingQueue<Request> requests() {
        return requests;
    }

    /** Returns a queue with one element for each connection that the peer closed. */
    BlockingQueue<Boolean> closes() {
        return closes;
    }

    /** Returns the number of accepted connections that are not closed yet. */
    int openConnections() {
        return openConnections.get();
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Returns a reply with a complete signed response. */
    static Reply ok(String body) {
        return (request, socket) -> {
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                            + "\r\nX-Response-Signature: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        };
    }

    /** Returns a reply that resets the connection. */
    static Reply reset() {
        return (request, socket) -> {
            socket.setSoLinger(true, 0);
            return false;
        };
    }

    /** Stops listening: after the return, connections to the port are refused. */
    @Override
    public void close() throws IOException {
        listener.close();
        // The operating system listens until the accepting thread has left its call of accept.
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while the endpoint stops listening");
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                openConnections.incrementAndGet();
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
        } finally {
            openConnections.decrementAndGet();
        }
    }

    private @Nullable Request read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int value = in.read();
            if (value < 0) {
                return null;
            }
            head.append((char) value);
        }
        Request bare = new Request(head.toString(), "");
        if (!isBodyRead) {
            return bare;
        }
        String length = bare.header("content-length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return new Request(head.toString(), new String(body, StandardCharsets.UTF_8));
    }

    /** Closes a socket and rethrows a failure as an unchecked exception. */
    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
