package org.jasminehub.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.jasminehub.core.experts.placement.CoordinatorChoice;
import org.jasminehub.core.experts.placement.PlacementLimits;
import org.jasminehub.core.experts.placement.PlacementPlanner;
import org.jasminehub.core.experts.placement.ReplicaMap;
import org.jasminehub.core.serving.CallerLimits;
import org.jasminehub.gateway.net.CallerExchange;
import org.jasminehub.gateway.net.CallerRequest;
import org.jasminehub.gateway.net.CallerResponse;
import org.jasminehub.gateway.net.CallerServer;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.platform.hosted.SamplePlatform;

/**
 * Runs both programs briefly on loopback, so that the build can archive the classes needed at start-up.
 *
 * <p>The programs start through {@link Main} from settings files, read a configuration and a registration from a
 * stand-in of the store, and serve plain calls and streams of an endpoint. A class that a real start loads but this run
 * does not is read from the jar and verified, which takes several times as long.
 */
final class Rehearsal {
    private static final String HOST = "127.0.0.1";
    private static final int CALLS = 3;
    private static final int TIMEOUT_MILLIS = 3_000;
    private static final int MAX_TRIES = 100;
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** A read of a log that has no new records; answered late so that followers do not repeat it all the time. */
    private static final long STORE_WAIT_MILLIS = 50;

    private static final byte[] EVENT = "id: 1\ndata: e\n\n".getBytes(StandardCharsets.UTF_8);

    private final EventLoop loop = EntrySetup.newLoop();
    private final int platformPort = freePort();
    private final SamplePlatform platform = new SamplePlatform(HOST + ":" + platformPort);

    private final ReloadSignal reload;

    private Rehearsal(ReloadSignal reload) {
        this.reload = reload;
    }

    /** Starts both programs and returns once calls have been served; {@link System#exit} stops the programs. */
    static void run(ReloadSignal reload) {
        new Rehearsal(reload).serveCalls();
        CoordinatorChoice.coordinator("group", List.of(new CoordinatorChoice.Candidate("rehearsal", 1)));
        ReplicaMap map = new ReplicaMap(2, new int[][][] {{{0}, {1}}});
        PlacementPlanner.plan(map, new double[][] {{3, 1}}, new double[] {1, 1}, new PlacementLimits(2, 1, 1, 0));
    }

    private void serveCalls() {
        int callerPort = freePort();
        try {
            CallerServer.start(
                    loop,
                    new EndpointAddress(HOST, platformPort),
                    () -> CallerLimits.DEFAULT,
                    this::handle,
                    (status, reason) -> {});
            start(Main.RANK_AGENT, agentSettings());
            start(Main.ENTRY, entrySettings(callerPort));
            for (int call = 0; call < CALLS; call++) {
                awaitOk(callerPort, SamplePlatform.plainCall(call));
                awaitOk(callerPort, SamplePlatform.streamCall(call));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void start(String role, String settings) throws IOException {
        Path file = Files.createTempFile("rehearsal", ".yaml");
        try {
            Files.writeString(file, settings);
            int code = new Main(System.err, file.toString(), reload).run(role);
            if (code != Main.EXIT_OK) {
                throw new IOException(role + " did not start");
            }
        } finally {
            Files.delete(file);
        }
    }

    private String entrySettings(int callerPort) {
        return """
                instance: "rehearsal"
                failureDomain: "here"
                callerAddress: "%1$s:%2$d"
                readinessAddress: "%1$s:0"
                directoryAddress: "%1$s:0"
                peerAddress: "%1$s:%3$d"
                metricsPort: 0
                agentPort: 1
                seeds: ["%1$s:1"]
                storeAddress: "%1$s:%4$d"
                revocationMillis: 5000
                drainMillis: 2000
                graceSeconds: 1
                addressTtlSeconds: 1.5
                processorShare: 1
                processorSpeed: 1
                repeatRatio: 0.2
                repeatReserve: 10
                repeatWindowSeconds: 10
                capacity:
                  sharedQueuesMinInstances: 0
                  crossDomainCost: 0
                  homeDomainMinEndpoints: 0
                clients:
                  memoryShare: 0.4
                """.formatted(HOST, callerPort, freePort(), platformPort);
    }

    /** The store refuses the agent's connections, as it may after a loss of all power. */
    private String agentSettings() {
        return """
                instance: "rehearsal-agent"
                failureDomain: "here"
                host: "%1$s"
                agentPort: 0
                engineAddress: "%1$s:%2$d"
                storeAddress: "%1$s:1"
                """.formatted(HOST, platformPort);
    }

    /** Repeats a call until it is served, because the instance refuses calls until it knows a configuration. */
    private static void awaitOk(int port, byte[] request) throws IOException {
        String answer = "";
        for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream().write(request);
                answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            }
            if (answer.startsWith("HTTP/1.1 200")) {
                return;
            }
            LockSupport.parkNanos(RETRY_NANOS);
        }
        throw new IOException("not served: " + answer);
    }

    private CallerExchange handle(CallerRequest request, CallerResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        Optional<byte[]> stored = platform.storeResponse(request.uri());
        if (stored.isPresent()) {
            SamplePlatform.storeHeaders().forEach(headers::set);
            loop.schedule(
                    () -> response.complete(HttpResponseStatus.OK, headers, stored.get()),
                    STORE_WAIT_MILLIS,
                    TimeUnit.MILLISECONDS);
            return CallerExchange.COMPLETED;
        }
        SamplePlatform.endpointHeaders(request.headers()::get).forEach(headers::set);
        if (SamplePlatform.isStream(request.uri())) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
            response.begin(HttpResponseStatus.OK, headers, CallerResponse.UNKNOWN_LENGTH);
            response.part(EVENT);
            response.end();
        } else {
            response.complete(HttpResponseStatus.OK, headers, EVENT);
        }
        return CallerExchange.COMPLETED;
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
