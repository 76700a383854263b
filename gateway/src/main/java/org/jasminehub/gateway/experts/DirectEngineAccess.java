package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.BufferedHttpClient;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.ExchangeMonitor;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankWatch;
import org.jspecify.annotations.Nullable;

/**
 * Calls engines at their registered addresses, bypassing their agents.
 *
 * <p>Calls from another machine are more expensive than an agent's calls. They are used only for hold orders,
 * which must not depend on an agent, and to finish a change whose agent has become silent.
 */
final class DirectEngineAccess {
    private final EventLoop loop;
    private final Clock clock;
    private final EventSink events;
    private final EndpointClient client;
    private final Supplier<List<EndpointRecord>> endpoints;
    private final Function<EndpointRecord, ExchangeMonitor> monitors;
    private final Map<EngineKey, DirectEngine> engines = new HashMap<>();

    DirectEngineAccess(
            EventLoop loop,
            Clock clock,
            EventSink events,
            EndpointClient client,
            Supplier<List<EndpointRecord>> endpoints,
            Function<EndpointRecord, ExchangeMonitor> monitors) {
        this.loop = loop;
        this.clock = clock;
        this.events = events;
        this.client = client;
        this.endpoints = endpoints;
        this.monitors = monitors;
    }

    /** A run of an engine at an address. */
    private record EngineKey(EndpointIncarnation incarnation, EndpointAddress address) {}

    /** An agent for a remote engine that runs in this process, and the messenger that sends messages to it. */
    private record DirectEngine(RankAgent agent, RankMessenger messenger, ExchangeMonitor monitor) {}

    /** Reads the reports of the engines whose agents are silent while their group is in the middle of a change. */
    void refreshSilentRanks(GroupPlacement group) {
        for (int rank : group.silentRanks()) {
            DirectEngine engine = find(group, rank);
            if (engine != null && engine.monitor().maySend()) {
                engine.agent().refresh();
            }
        }
    }

    /**
     * Returns a messenger that sends orders to a rank's engine, null if no such engine is registered or if it must be sent
     * nothing now.
     */
    @Nullable
    RankMessenger messenger(GroupPlacement group, int rank) {
        DirectEngine engine = find(group, rank);
        return engine == null || !engine.monitor().maySend() ? null : engine.messenger();
    }

    void clear() {
        engines.clear();
    }

    private @Nullable DirectEngine find(GroupPlacement group, int rank) {
        // While a rank is being replaced, two endpoints are registered for it; the one started last is in the group.
        return endpoints.get().stream()
                .filter(endpoint -> endpoint.seat() != null
                        && endpoint.seat().group().equals(group.name())
                        && endpoint.seat().rank() == rank)
                .max(Comparator.comparingLong(EndpointRecord::startedWallMillis))
                .map(endpoint -> {
                    EndpointAddress address = new EndpointAddress(endpoint.host(), endpoint.port());
                    return engines.computeIfAbsent(
                            new EngineKey(endpoint.incarnation(), address), key -> open(address, endpoint, group));
                })
                .orElse(null);
    }

    private DirectEngine open(EndpointAddress address, EndpointRecord endpoint, GroupPlacement group) {
        ExchangeMonitor monitor = monitors.apply(endpoint);
        BufferedHttpClient engine = new BufferedHttpClient(client, address, "engine", monitor);
        RankAgent agent = new RankAgent(loop, clock, engine, events);
        RankMessenger messenger = new RankMessenger() {
            @Override
            public void send(PeerEnvelope message) {
                // An order that is held back counts as lost, and is sent again after the usual time.
                if (monitor.maySend()) {
                    agent.onMessage(replyHandler(this, group), message);
                }
            }
        };
        agent.onMessage(
                replyHandler(messenger, group),
                PeerEnvelope.newBuilder()
                        .setRankWatch(RankWatch.getDefaultInstance())
                        .build());
        return new DirectEngine(agent, messenger, monitor);
    }

    /** Returns a handler that passes the engine's messages, as sent by {@code messenger}, to the group's placement. */
    private RankMessenger replyHandler(RankMessenger messenger, GroupPlacement group) {
        return message -> {
            if (message.hasRankStatus()) {
                if (group.silentRanks().contains(message.getRankStatus().getRank())) {
                    events.emit(new ExpertEvent(
                            ExpertEventKind.ENGINE_REACHED_DIRECTLY,
                            group.name(),
                            message.getRankStatus().getEpoch(),
                            message.getRankStatus().getMapVersion(),
                            String.valueOf(RankMessageConverter.view(message.getRankStatus()))));
                }
                group.onStatus(messenger, message.getRankStatus(), true);
            } else if (message.hasRankOrderReply()) {
                group.onReply(messenger, message.getRankOrderReply());
            }
        };
    }
}
