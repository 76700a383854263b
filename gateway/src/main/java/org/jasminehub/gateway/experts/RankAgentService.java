package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.PeerEnvelope;

/** Connects coordinators to the agent of an engine. Used on its event loop only. */
public final class RankAgentService implements PeerListener {
    private final RankAgent agent;
    private final EraTracker eras;
    private final Map<PeerConnection, RankMessenger> coordinators = new HashMap<>();

    /**
     * Creates the service of an agent whose engine is called through {@code engine}.
     *
     * @param eras receives the store's era from coordinators, because the agent itself rarely calls the store
     */
    public RankAgentService(EventLoop loop, Clock clock, BufferedHttpClient engine, EventSink events, EraTracker eras) {
        this.eras = eras;
        this.agent = new RankAgent(loop, clock, engine, events);
    }

    /** Starts reading the engine's reports periodically. */
    public void start() {
        agent.start();
    }

    @Override
    public void onConnected(PeerConnection connection) {
        coordinators.put(connection, connection::send);
    }

    @Override
    public void onMessage(PeerConnection connection, PeerEnvelope message) {
        if (message.hasRankWatch() && message.getRankWatch().getStoreEra() > 0) {
            eras.observe(new StoreEra(message.getRankWatch().getStoreEra()));
        }
        RankMessenger coordinator = coordinators.get(connection);
        if (coordinator != null) {
            agent.onMessage(coordinator, message);
        }
    }

    @Override
    public void onClosed(PeerConnection connection) {
        RankMessenger coordinator = coordinators.remove(connection);
        if (coordinator != null) {
            agent.onDisconnected(coordinator);
        }
    }
}
