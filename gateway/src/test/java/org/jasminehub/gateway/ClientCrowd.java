package org.jasminehub.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that write to a process as fast as it reads and then stay connected. A client whose connection is closed
 * connects again, a limited number of times.
 */
final class ClientCrowd implements AutoCloseable {
    /** How often each client connects. */
    private static final int VISITS = 3;

    private static final int STACK_BYTES = 128 << 10;

    /** Limits the simultaneous attempts to connect, which would otherwise exceed the backlog of the listener. */
    private static final int MAX_CONNECTING = 32;

    /** Opens a connection to the process. */
    @FunctionalInterface
    interface Connector {
        Socket connect() throws IOException;
    }

    /** Writes what one client sends on a connection. */
    @FunctionalInterface
    interface Script {
        void send(OutputStream out) throws IOException;
    }

    private final Connector connector;
    private final Script script;
    private final Semaphore connecting = new Semaphore(MAX_CONNECTING);
    private final AtomicInteger settledClients = new AtomicInteger();
    private final AtomicBoolean isClosed = new AtomicBoolean();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<Thread> clients = new ArrayList<>();

    /** Starts {@code size} clients. */
    ClientCrowd(int size, Connector connector, Script script) {
        this.connector = connector;
        this.script = script;
        for (int index = 0; index < size; index++) {
            Thread client = new Thread(null, this::visit, "crowd-" + index, STACK_BYTES);
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
    }

    /** Returns whether each client has sent everything and is still connected, or has made all its visits. */
    boolean isSettled() {
        return settledClients.get() == clients.size();
    }

    private void visit() {
        for (int number = 0; number < VISITS && !isClosed.get(); number++) {
            try (Socket socket = connect()) {
                open.add(socket);
                script.send(socket.getOutputStream());
                settledClients.incrementAndGet();
                try {
                    readAll(socket.getInputStream());
                } finally {
                    settledClients.decrementAndGet();
                }
            } catch (IOException e) {
                // Refused or closed by the process, which is allowed.
            }
        }
        settledClients.incrementAndGet();
    }

    private Socket connect() throws IOException {
        connecting.acquireUninterruptibly();
        try {
            return connector.connect();
        } finally {
            connecting.release();
        }
    }

    private static void readAll(InputStream in) throws IOException {
        byte[] buffer = new byte[8 << 10];
        int count = 0;
        while (count >= 0) {
            count = in.read(buffer);
        }
    }

    @Override
    public void close() throws IOException {
        isClosed.set(true);
        for (Socket socket : open) {
            socket.close();
        }
        for (Thread client : clients) {
            try {
                client.join();
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }
}
