package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.WholeCaller;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankWatch;
import org.jspecify.annotations.Nullable;

/**
 * Reaches engines at their registered addresses, without the agents beside them. Calls from afar have a price, so this is
 * for the order that must not depend on an agent, and for changes that an agent has left open.
 */
final class DirectRanks {
    private final EventLoop loop;
    private final Clock clock;
    private final EventSink events;
    private final EndpointClient client;
    private final Supplier<List<EndpointRecord>> endpoints;
    private final Map<EndpointAddress, DirectRank> reached = new HashMap<>();

    DirectRanks(
            EventLoop loop,
            Clock clock,
            EventSink events,
            EndpointClient client,
            Supplier<List<EndpointRecord>> endpoints) {
        this.loop = loop;
        this.clock = clock;
        this.events = events;
        this.client = client;
        this.endpoints = endpoints;
    }

    /** What an agent does, run in this process, and the way to it. */
    private record DirectRank(RankAgent agent, RankMessenger orders) {}

    /** Asks the engines of a group's ranks that nobody speaks for, while a change is open there. */
    void speakFor(GroupPlacement group) {
        for (int rank : group.orphanedRanks()) {
            DirectRank engine = find(group, rank);
            if (engine != null) {
                engine.agent().refresh();
            }
        }
    }

    /** Returns a way to give orders to a rank's engine, null where no such engine is registered. */
    @Nullable
    RankMessenger orders(GroupPlacement group, int rank) {
        DirectRank engine = find(group, rank);
        return engine == null ? null : engine.orders();
    }

    void clear() {
        reached.clear();
    }

    private @Nullable DirectRank find(GroupPlacement group, int rank) {
        // While a rank is replaced two endpoints are registered for it; the one that started last is in the group.
        return endpoints.get().stream()
                .filter(endpoint -> endpoint.seat() != null
                        && endpoint.seat().group().equals(group.name())
                        && endpoint.seat().rank() == rank)
                .max(Comparator.comparingLong(EndpointRecord::startedWallMillis))
                .map(endpoint -> reached.computeIfAbsent(
                        new EndpointAddress(endpoint.host(), endpoint.port()), address -> open(address, group)))
                .orElse(null);
    }

    private DirectRank open(EndpointAddress address, GroupPlacement group) {
        RankAgent agent = new RankAgent(loop, clock, new WholeCaller(client, address, "engine"), events);
        RankMessenger orders = new RankMessenger() {
            @Override
            public void send(PeerEnvelope message) {
                agent.onMessage(repliesTo(this, group), message);
            }
        };
        agent.onMessage(
                repliesTo(orders, group),
                PeerEnvelope.newBuilder()
                        .setRankWatch(RankWatch.getDefaultInstance())
                        .build());
        return new DirectRank(agent, orders);
    }

    /** Passes what the engine says to the group's placement, as said by {@code orders}. */
    private RankMessenger repliesTo(RankMessenger orders, GroupPlacement group) {
        return message -> {
            if (message.hasRankStatus()) {
                if (group.orphanedRanks().contains(message.getRankStatus().getRank())) {
                    events.emit(new ExpertEvent(
                            ExpertEventKind.ENGINE_REACHED_DIRECTLY,
                            group.name(),
                            message.getRankStatus().getEpoch(),
                            message.getRankStatus().getMapVersion(),
                            String.valueOf(RankOrders.view(message.getRankStatus()))));
                }
                group.onStatus(orders, message.getRankStatus(), true);
            } else if (message.hasRankOrderReply()) {
                group.onReply(orders, message.getRankOrderReply());
            }
        };
    }
}
