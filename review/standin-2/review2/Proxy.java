package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Passes the bytes of each connection on in both directions. */
final class Proxy implements AutoCloseable {
    private final Listener listener;
    private final InetSocketAddress target;

    Proxy(InetSocketAddress target) throws IOException {
        this.target = target;
        this.listener = new Listener("127.0.0.1", 0, this::serve);
    }

    InetSocketAddress address() {
        String address = listener.address();
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private void serve(Socket from) throws Exception {
        try (Socket to = new Socket()) {
            to.setTcpNoDelay(true);
            to.connect(target, 1_000);
            Thread back = Listener.start(() -> copy(to, from));
            copy(from, to);
            back.join();
        }
    }

    private static void copy(Socket from, Socket to) {
        byte[] buffer = new byte[8_192];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            Listener.reset(from);
            Listener.reset(to);
        }
    }

    /** Ends all connections with a reset, on both sides. */
    void resetAll() {
        listener.resetAll();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
