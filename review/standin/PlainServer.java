import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in of one server of a plain service, which registers itself in the store. */
final class PlainServer {
    interface Handler {
        /** Answers {@code request}; returns whether the connection stays open. */
        boolean handle(Net.Message request, Socket socket) throws Exception;
    }

    final String id;
    final int port;
    private final long bornMillis = System.currentTimeMillis();

    PlainServer(Store store, String id, String service, Handler handler) throws IOException {
        this.id = id;
        ServerSocket listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Net.daemon("accept-" + id, () -> {
            while (true) {
                Socket socket = listener.accept();
                Net.daemon(id, () -> serve(socket, handler));
            }
        });
        Net.daemon("beat-" + id, () -> {
            for (int sequence = 1; ; sequence++) {
                store.put("keyed.servers", id, registration(service, sequence));
                Thread.sleep(1_200);
            }
        });
    }

    private String registration(String service, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"born\":" + bornMillis + ",\"sequence\":" + sequence + "}";
    }

    private static void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            Net.Message request;
            while ((request = Net.readMessage(socket.getInputStream(), true)) != null) {
                if (!handler.handle(request, socket)) {
                    return;
                }
            }
        }
    }
}
