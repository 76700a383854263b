package org.jasminehub.entry.control.members;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.entry.endpoint.LinkObserver;
import org.jasminehub.wire.PeerListener;
import org.jasminehub.wire.WireClient;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.generated.EndpointLoad;
import org.jasminehub.wire.generated.Hello;

/** The connections to the entry instances that this one watches. Must be used on the control thread only. */
public final class PeerLinks implements AutoCloseable {
    private final WireGroup group;
    private final Supplier<Hello> hello;
    private final Map<InstanceId, Peer> peers = new HashMap<>();

    /** Creates the object without opening a connection; {@code hello} supplies this process's hello message. */
    public PeerLinks(WireGroup group, Supplier<Hello> hello) {
        this.group = group;
        this.hello = hello;
    }

    @Override
    public void close() {
        peers.values().forEach(peer -> peer.client().close());
    }

    /** Connects to all of {@code watched}, reconnects lost connections and closes all other connections. */
    void update(Collection<Member> watched, LinkObserver observer) {
        Set<Address> wanted = watched.stream().map(Address::of).collect(Collectors.toSet());
        for (Peer peer : List.copyOf(peers.values())) {
            if (!wanted.contains(peer.address())) {
                peers.remove(peer.address().id());
                peer.client().close();
            }
        }
        for (Address address : wanted) {
            peers.computeIfAbsent(address.id(), id -> open(address, observer))
                    .client()
                    .connect();
        }
    }

    private Peer open(Address address, LinkObserver observer) {
        Listener listener = new Listener(address.id(), observer);
        return new Peer(address, new WireClient(group, address.host(), address.port(), hello, listener));
    }

    private record Address(InstanceId id, String host, int port) {
        static Address of(Member member) {
            return new Address(member.id(), member.host(), member.wirePort());
        }
    }

    private record Peer(Address address, WireClient client) {}

    private record Listener(InstanceId id, LinkObserver observer) implements PeerListener {
        @Override
        public void onHello(Hello peer) {
            observer.onPeerMessage(peer);
        }

        @Override
        public void onLoad(EndpointLoad load) {
            // Entry instances have no endpoint and report no load.
        }

        @Override
        public void onDisconnected() {
            observer.onConnectionFailed(id);
        }
    }
}
