package org.jasminehub.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;

/** An entry instance of a soak run, from its start to the end of its process. */
final class SoakGateway {
    static final String KEY = "key-1";

    private final String name;
    private final double graceSeconds;
    private final GatewayHarness harness;
    private final int callerPort;
    private volatile long signalNanos;
    private volatile long endedNanos;
    private volatile boolean isEnded;

    /** Starts an entry instance that serves with {@code endpoints}. */
    SoakGateway(String name, double graceSeconds, List<ScriptedEndpoint> endpoints) {
        this.name = name;
        this.graceSeconds = graceSeconds;
        harness = new GatewayHarness(graceSeconds);
        callerPort = harness.entry().callerPort();
        harness.configure(1, KEY);
        for (int index = 0; index < endpoints.size(); index++) {
            harness.register("e-" + index, endpoints.get(index).port(), "ready");
        }
    }

    String name() {
        return name;
    }

    double graceSeconds() {
        return graceSeconds;
    }

    GatewayHarness harness() {
        return harness;
    }

    /** Returns when the stop was requested; only valid after {@link #stop}. */
    long signalNanos() {
        return signalNanos;
    }

    long endedNanos() {
        return endedNanos;
    }

    boolean isEnded() {
        return isEnded;
    }

    /** Connects to the address of the instance, whether or not it is stopping. */
    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerPort);
        socket.setSoTimeout((int) GatewayHarness.TIMEOUT.toMillis());
        return socket;
    }

    /** Requests the stop and returns once the process has ended. */
    void stop() {
        signalNanos = System.nanoTime();
        harness.close();
        endedNanos = System.nanoTime();
        isEnded = true;
    }

    String describe() {
        return name + " with " + graceSeconds + " s grace";
    }
}
