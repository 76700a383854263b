package org.jasminehub.gateway.experts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.runtime.time.SystemClock;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankOrderKind;
import org.jasminehub.wire.generated.RankOrderRequest;
import org.jasminehub.wire.generated.RankWatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against replies to orders that are taken from an earlier response, which a faulty engine writes once more on a
 * kept connection.
 */
@Timeout(60)
final class RankAgentRepeatedResponseTest {
    private static final String REPORT =
            "{\"group\":{\"name\":\"g\",\"epoch\":1,\"rank\":0,\"state\":\"open\"},\"size\":1,\"born\":1,\"pace\":1.0,"
                    + "\"step\":1,\"map\":0,\"prepared\":null,\"armed\":null,\"held\":null}";
    private static final String HOLDINGS = "{\"map\":{\"version\":0,\"experts\":[[0]]}}";

    private EventLoop loop;
    private ServerSocket listener;
    private RankAgent agent;

    @BeforeEach
    void start() throws IOException {
        loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("agent", true), NioIoHandler.newFactory())
                .next();
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::accept);
        BufferedHttpClient engine = new BufferedHttpClient(
                new EndpointClient(loop, new SystemClock()),
                new EndpointAddress("127.0.0.1", listener.getLocalPort()),
                "engine");
        agent = new RankAgent(loop, new SystemClock(), engine, event -> {});
    }

    @AfterEach
    void stop() throws IOException {
        listener.close();
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "engine");
        thread.setDaemon(true);
        thread.start();
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

    /** Responds to reports, and refuses orders, before which the last response on the connection is written once more. */
    private static void serve(Socket socket) {
        try (socket;
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            String earlier = "";
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String uri = line.split(" ")[1];
                int length = readHeaders(in);
                for (int read = 0; read < length; read++) {
                    in.read();
                }
                String response = responseTo(uri);
                OutputStream out = socket.getOutputStream();
                boolean isRepeated = uri.equals("/order");
                out.write(((isRepeated ? earlier : "") + response).getBytes(StandardCharsets.UTF_8));
                earlier = response;
            }
        } catch (IOException e) {
            // The agent has closed the connection.
        }
    }

    /** Reads the headers of a request and returns the length of its body. */
    private static int readHeaders(BufferedReader in) throws IOException {
        String name = "content-length:";
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.regionMatches(true, 0, name, 0, name.length())) {
                length = Integer.parseInt(line.substring(name.length()).trim());
            }
        }
        return length;
    }

    private static String responseTo(String uri) {
        return switch (uri) {
            case "/order" -> "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
            case "/report" -> success(REPORT);
            default -> success(HOLDINGS);
        };
    }

    private static String success(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test
    void testARefusedHoldIsNotReportedAsAcceptedAfterARepeatedResponse() {
        CompletableFuture<Boolean> known = new CompletableFuture<>();
        CompletableFuture<Integer> reply = new CompletableFuture<>();
        RankMessenger coordinator = message -> {
            if (message.hasRankStatus() && message.getRankStatus().getLayersCount() > 0) {
                known.complete(true);
            }
            if (message.hasRankOrderReply()) {
                reply.complete(message.getRankOrderReply().getStatus());
            }
        };
        loop.execute(() -> agent.onMessage(
                coordinator,
                PeerEnvelope.newBuilder()
                        .setRankWatch(RankWatch.getDefaultInstance())
                        .build()));
        known.join();

        loop.execute(() -> agent.onMessage(
                coordinator,
                PeerEnvelope.newBuilder()
                        .setRankOrderRequest(RankOrderRequest.newBuilder()
                                .setOrderId(1)
                                .setKind(RankOrderKind.RANK_HOLD)
                                .setEpoch(1)
                                .setStep(9))
                        .build()));

        assertEquals(409, reply.join());
    }
}
