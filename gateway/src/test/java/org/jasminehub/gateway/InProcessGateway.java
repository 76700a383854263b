package org.jasminehub.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;

/** An entry instance that runs inside the test's own JVM; its end is the end of its event loop. */
final class InProcessGateway implements SoakGateway {
    private final String name;
    private final double graceSeconds;
    private final GatewayHarness harness;
    private final int callerPort;
    private volatile long signalNanos;
    private volatile long endedNanos;
    private volatile boolean isEnded;

    /** Starts an entry instance that serves with {@code endpoints}. */
    InProcessGateway(String name, double graceSeconds, List<ScriptedEndpoint> endpoints) {
        this.name = name;
        this.graceSeconds = graceSeconds;
        harness = new GatewayHarness(graceSeconds);
        callerPort = harness.entry().callerPort();
        harness.configure(1, SoakGateway.KEY);
        for (int index = 0; index < endpoints.size(); index++) {
            harness.register("e-" + index, endpoints.get(index).port(), "ready");
        }
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public double graceSeconds() {
        return graceSeconds;
    }

    GatewayHarness harness() {
        return harness;
    }

    @Override
    public long signalNanos() {
        return signalNanos;
    }

    @Override
    public long endedNanos() {
        return endedNanos;
    }

    @Override
    public boolean isEnded() {
        return isEnded;
    }

    @Override
    public Socket connect(int receiveBufferBytes) throws IOException {
        return SoakGateway.open(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), callerPort), receiveBufferBytes);
    }

    /** Requests the stop and returns once the process has ended. */
    void stop() {
        signalNanos = System.nanoTime();
        harness.close();
        endedNanos = System.nanoTime();
        isEnded = true;
    }

    @Override
    public String describe() {
        return name + " with " + graceSeconds + " s grace";
    }

    @Override
    public List<String> callEvents(String id) {
        return harness.callEvents(id).stream().map(Object::toString).toList();
    }
}
