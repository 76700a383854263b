package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.serving.GroupSeat;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerLink;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankWatch;

/**
 * Places the experts of every group while this instance is the one to do so.
 *
 * <p>Several instances may believe that at once; {@link org.jasminehub.core.experts.placement.MapChangePolicy} keeps a
 * group on one map all the same. Used on the process's event loop only.
 */
public final class ExpertCoordinator {
    /** Agents take a coordinator for gone after some missed watches. */
    private static final long WATCH_INTERVAL_MILLIS = 400;

    /** Below this a rank is as fast as the others for all that its report tells. */
    private static final double SLOW_PACE = 1.2;

    private static final long TICK_MILLIS = 50;

    /** An instance that is not responsible takes over within this time after the others know. */
    private static final long IDLE_TICK_MILLIS = 250;

    private final EventLoop loop;
    private final Clock clock;
    private final DelayedRunner timer;
    private final EventSink events;
    private final Supplier<List<InstanceRecord>> agents;
    private final Supplier<ExpertLayout> layout;
    private final BooleanSupplier isResponsible;
    private final Map<EndpointAddress, PeerLink> links = new HashMap<>();
    private final Map<String, GroupPlacement> groups = new HashMap<>();
    private final Supplier<List<EndpointRecord>> endpoints;
    private final DirectRanks directRanks;
    private boolean wasResponsible;
    private long watchedMillis;

    /** Creates a coordinator that is not active yet. */
    public ExpertCoordinator(
            EventLoop loop,
            Clock clock,
            DelayedRunner timer,
            EventSink events,
            Supplier<List<InstanceRecord>> agents,
            Supplier<ExpertLayout> layout,
            EndpointClient client,
            Supplier<List<EndpointRecord>> endpoints,
            BooleanSupplier isResponsible) {
        this.loop = loop;
        this.clock = clock;
        this.timer = timer;
        this.events = events;
        this.agents = agents;
        this.layout = layout;
        this.endpoints = endpoints;
        this.directRanks = new DirectRanks(loop, clock, events, client, endpoints);
        this.isResponsible = isResponsible;
    }

    /** Starts to look whether there is something to do. */
    public void start() {
        boolean isNow = isResponsible.getAsBoolean() && layout.get().isPlaceable();
        if (isNow != wasResponsible) {
            wasResponsible = isNow;
            events.emit(new ExpertEvent(
                    ExpertEventKind.COORDINATION_CHANGED, "", 0, 0, isNow ? "places experts" : "places no experts"));
            if (!isNow) {
                links.values().forEach(PeerLink::close);
                links.clear();
                groups.clear();
                directRanks.clear();
            }
        }
        if (isNow) {
            connect();
            watch();
            groups.values().forEach(directRanks::speakFor);
            groups.values().forEach(GroupPlacement::advance);
        }
        timer.runAfter(isNow ? TICK_MILLIS : IDLE_TICK_MILLIS, this::start);
    }

    /** Returns whether this instance places experts. */
    public boolean isActive() {
        return wasResponsible;
    }

    /** Returns how slow the engines say they are, for those that say they are slow. */
    public Map<EndpointId, Double> slowEndpoints() {
        Map<EndpointId, Double> slow = new HashMap<>();
        for (EndpointRecord endpoint : endpoints.get()) {
            GroupSeat seat = endpoint.seat();
            GroupPlacement group = seat == null ? null : groups.get(seat.group());
            if (seat != null && group != null) {
                double pace = group.paces().getOrDefault(seat.rank(), 1.0);
                if (pace >= SLOW_PACE) {
                    slow.put(endpoint.id(), pace);
                }
            }
        }
        return slow;
    }

    private void connect() {
        Set<EndpointAddress> wanted = new HashSet<>();
        for (InstanceRecord agent : agents.get()) {
            wanted.add(new EndpointAddress(agent.getHost(), agent.getPeerPort()));
        }
        for (EndpointAddress address : wanted) {
            links.computeIfAbsent(address, each -> new PeerLink(loop, each, new AgentListener()));
        }
        links.entrySet().removeIf(link -> {
            boolean isUnwanted = !wanted.contains(link.getKey());
            if (isUnwanted) {
                link.getValue().close();
            }
            return isUnwanted;
        });
    }

    private void watch() {
        if (clock.monotonicMillis() - watchedMillis < WATCH_INTERVAL_MILLIS) {
            return;
        }
        watchedMillis = clock.monotonicMillis();
        links.values().forEach(link -> link.send(watchMessage()));
    }

    private static PeerEnvelope watchMessage() {
        return PeerEnvelope.newBuilder()
                .setRankWatch(RankWatch.newBuilder().setWithCounts(true))
                .build();
    }

    /** Hears one agent. */
    private final class AgentListener implements PeerListener {
        private RankMessenger messenger = message -> {};

        @Override
        public void onConnected(PeerConnection connection) {
            messenger = connection::send;
            connection.send(watchMessage());
        }

        @Override
        public void onMessage(PeerConnection connection, PeerEnvelope message) {
            if (message.hasRankStatus() && !message.getRankStatus().getGroup().isEmpty()) {
                groups.computeIfAbsent(
                                message.getRankStatus().getGroup(),
                                name -> new GroupPlacement(name, clock, events, layout, directRanks::orders))
                        .onStatus(messenger, message.getRankStatus(), false);
            } else if (message.hasRankOrderReply()) {
                groups.values().forEach(group -> group.onReply(messenger, message.getRankOrderReply()));
            }
        }

        @Override
        public void onClosed(PeerConnection connection) {
            // The rank's last word stands until it is too old; a change that is open is finished without the agent.
        }
    }
}
