package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** An endpoint that discards the bodies of requests, and answers all of them or none. */
final class CrowdEndpoint implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int STACK_BYTES = 128 << 10;

    private final ServerSocket listener;
    private final boolean answers;

    CrowdEndpoint(boolean answers) throws IOException {
        this.answers = answers;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private static void start(Runnable action) {
        Thread thread = new Thread(null, action, "endpoint", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int value = in.read();
                    if (value < 0) {
                        return;
                    }
                    head.append((char) value);
                }
                ScriptedEndpoint.Request request = new ScriptedEndpoint.Request(head.toString(), "");
                String length = request.header("content-length");
                in.skipNBytes(length.isEmpty() ? 0 : Long.parseLong(length));
                if (answers) {
                    ScriptedEndpoint.ok("whole").answer(request, socket);
                }
            }
        } catch (IOException e) {
            // The entry instance has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
