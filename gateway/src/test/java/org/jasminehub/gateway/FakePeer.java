package org.jasminehub.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerLink;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.DomainEvacuation;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.PeerStatus;

/** A peer that sends the statuses that a test asks for, over a real connection. */
final class FakePeer implements AutoCloseable {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(
                    1, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory())
            .next();
    private final CompletableFuture<PeerConnection> connected = new CompletableFuture<>();
    private final Queue<PeerEnvelope> received = new ConcurrentLinkedQueue<>();
    private final PeerLink link;

    /** Connects to the instance at {@code address}. */
    FakePeer(String address) {
        link = new PeerLink(loop, EndpointAddress.parse(address), new PeerListener() {
            @Override
            public void onConnected(PeerConnection connection) {
                connected.complete(connection);
            }

            @Override
            public void onMessage(PeerConnection connection, PeerEnvelope message) {
                received.add(message);
            }

            @Override
            public void onClosed(PeerConnection connection) {
                // The link connects again.
            }
        });
    }

    /** Returns the messages that the instance has sent, in order. */
    Queue<PeerEnvelope> received() {
        return received;
    }

    /** Returns what a peer states about an evacuation in the first era of the store. */
    static DomainEvacuation evacuation(String domain, boolean isEvacuated, long offset) {
        return DomainEvacuation.newBuilder()
                .setFailureDomain(domain)
                .setIsEvacuated(isEvacuated)
                .setStoreEra(1)
                .setOffset(offset)
                .build();
    }

    /** Sends a status with {@code evacuations}, as of the first era of the store. */
    void state(DomainEvacuation... evacuations) {
        PeerStatus.Builder status = PeerStatus.newBuilder()
                .setInstance(InstanceRecord.newBuilder()
                        .setInstance("peer")
                        .setHost("127.0.0.1")
                        .setCallerPort(1)
                        .setPeerPort(1))
                .setStoreEra(1);
        for (DomainEvacuation each : evacuations) {
            status.addEvacuations(each);
        }
        connected
                .orTimeout(GatewayHarness.TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join()
                .send(PeerEnvelope.newBuilder().setPeerStatus(status).build());
    }

    @Override
    public void close() {
        loop.execute(link::close);
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
