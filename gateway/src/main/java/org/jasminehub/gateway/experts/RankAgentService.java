package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.WholeCaller;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.PeerEnvelope;

/** Serves coordinators that connect to the agent beside an engine. Used on its event loop only. */
public final class RankAgentService implements PeerListener {
    private final RankAgent agent;
    private final Map<PeerConnection, RankMessenger> coordinators = new HashMap<>();

    /** Creates the service of the agent whose engine {@code engine} calls. */
    public RankAgentService(EventLoop loop, Clock clock, WholeCaller engine, EventSink events) {
        this.agent = new RankAgent(loop, clock, engine, events);
    }

    /** Starts to read the engine's reports. */
    public void start() {
        agent.start();
    }

    @Override
    public void onConnected(PeerConnection connection) {
        coordinators.put(connection, connection::send);
    }

    @Override
    public void onMessage(PeerConnection connection, PeerEnvelope message) {
        RankMessenger coordinator = coordinators.get(connection);
        if (coordinator != null) {
            agent.onMessage(coordinator, message);
        }
    }

    @Override
    public void onClosed(PeerConnection connection) {
        RankMessenger coordinator = coordinators.remove(connection);
        if (coordinator != null) {
            agent.onLost(coordinator);
        }
    }
}
