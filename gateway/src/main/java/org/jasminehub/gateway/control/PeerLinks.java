package org.jasminehub.gateway.control;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.peer.PeerLink;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.PeerEnvelope;

/** The connections of this instance to all other entry instances. Must be used on the process's event loop only. */
final class PeerLinks {
    private final EventLoop loop;
    private final List<EndpointAddress> seeds;
    private final PeerListener listener;
    private final Map<EndpointAddress, PeerLink> links = new HashMap<>();

    /** Creates an object without connections; {@code listener} receives the messages of all later ones. */
    PeerLinks(EventLoop loop, List<EndpointAddress> seeds, PeerListener listener) {
        this.loop = loop;
        this.seeds = List.copyOf(seeds);
        this.listener = listener;
    }

    /** Connects to the {@code registered} instances other than {@code self}, or to the seeds while none is registered. */
    void connect(Collection<InstanceRecord> registered, InstanceRecord self) {
        Set<EndpointAddress> wanted = new HashSet<>();
        registered.forEach(entry -> wanted.add(addressOf(entry)));
        if (wanted.isEmpty()) {
            wanted.addAll(seeds);
        }
        wanted.remove(addressOf(self));
        for (EndpointAddress address : wanted) {
            links.computeIfAbsent(address, each -> new PeerLink(loop, each, listener));
        }
        links.entrySet().removeIf(link -> {
            boolean isUnwanted = !wanted.contains(link.getKey());
            if (isUnwanted) {
                link.getValue().close();
            }
            return isUnwanted;
        });
    }

    /** Sends {@code message} to all connected instances. */
    void broadcast(PeerEnvelope message) {
        links.values().forEach(link -> link.send(message));
    }

    /** Sends {@code message} to {@code instance} if it is connected. */
    void send(InstanceRecord instance, PeerEnvelope message) {
        PeerLink link = links.get(addressOf(instance));
        if (link != null) {
            link.send(message);
        }
    }

    private static EndpointAddress addressOf(InstanceRecord instance) {
        return new EndpointAddress(instance.getHost(), instance.getPeerPort());
    }
}
