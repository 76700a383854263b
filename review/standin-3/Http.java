package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Plain HTTP/1.1 over blocking sockets, one thread for each connection. */
final class Http {
    private Http() {}

    /** A request or a response: its first line, its fields by name in lower case, and its body. */
    record Message(String[] line, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line[1]);
        }

        /** Returns a parameter of the query, null if it is not stated. */
        String query(String name) {
            int mark = line[1].indexOf('?');
            if (mark >= 0) {
                for (String pair : line[1].substring(mark + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return null;
        }

        String path() {
            int mark = line[1].indexOf('?');
            return mark < 0 ? line[1] : line[1].substring(0, mark);
        }
    }

    /** Answers one request; returns whether the connection stays open. */
    @FunctionalInterface
    interface Handler {
        boolean handle(Message request, Socket connection, OutputStream out) throws Exception;
    }

    /** A listener, which can be closed with all its connections and opened again. */
    static final class Server {
        private final String host;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile ServerSocket listening;
        private volatile int port;

        Server(String host, Handler handler) throws IOException {
            this.host = host;
            this.handler = handler;
            open();
        }

        String address() {
            return host + ":" + port;
        }

        void open() throws IOException {
            ServerSocket next = new ServerSocket();
            next.setReuseAddress(true);
            next.bind(new InetSocketAddress(host, port), 256);
            port = next.getLocalPort();
            listening = next;
            thread(() -> accept(next));
        }

        /** Stops listening and resets all connections, as the end of a process does that has unread input. */
        void crash() throws IOException {
            listening.close();
            for (Socket each : open) {
                reset(each);
            }
        }

        private void accept(ServerSocket from) {
            while (!from.isClosed()) {
                try {
                    Socket connection = from.accept();
                    connection.setTcpNoDelay(true);
                    open.add(connection);
                    thread(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                while (handler.handle(read(in, false), connection, out)) {
                    out.flush();
                }
            } catch (Exception e) {
                // The connection ended.
            } finally {
                open.remove(connection);
            }
        }
    }

    static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    static Thread thread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a message; {@code isResponse} also allows a body without a length, which ends with the connection. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        String first = line(in);
        while (first.isEmpty()) {
            first = line(in);
        }
        Map<String, String> fields = new TreeMap<>();
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            fields.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            ByteArrayOutputStream chunks = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                chunks.write(exactly(in, size));
                line(in);
            }
            line(in);
            body = chunks.toByteArray();
        } else if (fields.containsKey("content-length")) {
            body = exactly(in, Integer.parseInt(fields.get("content-length")));
        } else if (isResponse) {
            body = in.readAllBytes();
        }
        return new Message(first.split(" ", 3), fields, body);
    }

    static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).trim(), 16);
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ended early");
        }
        return bytes;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes a response with a length. */
    static void respond(OutputStream out, int status, String fields, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(("HTTP/1.1 " + status + " -\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Opens a connection to {@code address}. */
    static Socket connect(String address, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        int colon = address.lastIndexOf(':');
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMillis);
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** Sends one request over a new connection and returns the response. */
    static Message call(String address, String request) throws IOException {
        try (Socket socket = connect(address, 1_000)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(new BufferedInputStream(socket.getInputStream()), true);
        }
    }
}
