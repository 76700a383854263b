package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback address and serves each one on a thread of its own. */
final class Listener implements AutoCloseable {
    /** Serves a connection until it ends. */
    interface Service {
        void serve(Socket socket) throws Exception;
    }

    private final ServerSocket server;
    private final Service service;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean isClosed;

    /** Listens on {@code port} of {@code host}; port 0 selects a free one. */
    Listener(String host, int port, Service service) throws IOException {
        this.server = new ServerSocket();
        this.service = service;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        start(this::acceptAll);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void acceptAll() {
        while (!isClosed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                // Closed, or a connection that ended before it was accepted.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            service.serve(socket);
        } catch (Exception e) {
            // The connection ended.
        } finally {
            open.remove(socket);
        }
    }

    /** Ends all open connections with a reset. */
    void resetAll() {
        for (Socket socket : open) {
            reset(socket);
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    static Thread start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns a port of {@code host} that is free now. */
    static int freePort(String host) throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return probe.getLocalPort();
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
