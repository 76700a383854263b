package org.jasminehub.entry.control.documents;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.jasminehub.core.error.ErrorCode;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.wire.PeerListener;
import org.jasminehub.wire.WireClient;
import org.jasminehub.wire.WireException;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.RecordsReply;
import org.jasminehub.wire.generated.RecordsRequest;

/** Requests records over connections, and keeps those to the most recently used peers open. Thread-safe. */
public final class WirePeerClient implements PeerClient, AutoCloseable {
    private static final int MAX_CONNECTIONS = 4;
    private static final int TIMEOUT_MILLIS = 2_000;

    private final WireGroup group;
    private final Supplier<Hello> hello;
    private final Map<InstanceId, Connection> connections = new HashMap<>();
    private long requestCount;

    /** Creates a client; {@code hello} supplies this process's hello message. */
    public WirePeerClient(WireGroup group, Supplier<Hello> hello) {
        this.group = group;
        this.hello = hello;
    }

    @Override
    public synchronized CompletionStage<RecordsReply> requestRecords(Member peer, RecordsRequest request) {
        ControlRequest.Builder envelope = ControlRequest.newBuilder().setRecords(request);
        return connectionTo(peer).request(envelope, TIMEOUT_MILLIS).thenApply(WirePeerClient::recordsOf);
    }

    @Override
    public synchronized void close() {
        connections.values().forEach(connection -> connection.client().close());
        connections.clear();
    }

    private static RecordsReply recordsOf(ControlReply reply) {
        if (!reply.hasRecords()) {
            throw new WireException(ErrorCode.PROTOCOL_VIOLATION.code(), null);
        }
        return reply.getRecords();
    }

    private WireClient connectionTo(Member peer) {
        Connection known = connections.get(peer.id());
        boolean isSame = known != null && known.hasAddressOf(peer);
        if (known != null && !isSame) {
            known.client().close();
        }
        WireClient client = known != null && isSame
                ? known.client()
                : new WireClient(group, peer.host(), peer.wirePort(), hello, new Listener());
        connections.put(peer.id(), new Connection(peer, client, requestCount++));
        closeOldest();
        return client;
    }

    private void closeOldest() {
        while (connections.size() > MAX_CONNECTIONS) {
            Connection oldest = connections.values().stream()
                    .min((one, other) -> Long.compare(one.lastRequest(), other.lastRequest()))
                    .orElseThrow();
            connections.remove(oldest.peer().id()).client().close();
        }
    }

    private record Connection(Member peer, WireClient client, long lastRequest) {
        boolean hasAddressOf(Member other) {
            return peer.host().equals(other.host()) && peer.wirePort() == other.wirePort();
        }
    }

    /**
     * Ignores all messages: peers report nothing on these connections, and a lost connection fails the pending
     * requests.
     */
    private static final class Listener implements PeerListener {
        @Override
        public void onHello(Hello peer) {}

        @Override
        public void onLoad(EndpointLoad report) {}

        @Override
        public void onDisconnected() {}
    }
}
