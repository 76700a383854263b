package org.jasminehub.gateway.experts;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.experts.placement.CountSampling;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.serving.ExpertLayout;
import org.jasminehub.core.serving.GroupSeat;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.net.ExchangeMonitor;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerLink;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RankWatch;

/**
 * Places the experts of every group while this instance is responsible for it.
 *
 * <p>Several instances may consider themselves responsible at the same time; {@link
 * org.jasminehub.core.experts.placement.MapChangePolicy} ensures that all ranks of a group still use the same map.
 * Used on the process's event loop only.
 */
public final class ExpertCoordinator {
    /** An agent closes the connection to a coordinator after several intervals without a message. */
    private static final long WATCH_INTERVAL_MILLIS = 400;

    /** Ranks with a smaller slowdown count as normal, because smaller differences are not significant. */
    private static final double MIN_SLOWDOWN = 1.2;

    private static final long TICK_MILLIS = 50;

    /** Interval while not responsible: the time within which an instance notices that it has become responsible. */
    private static final long IDLE_TICK_MILLIS = 250;

    private final EventLoop loop;
    private final Clock clock;
    private final DelayedRunner timer;
    private final EventSink events;
    private final Supplier<List<InstanceRecord>> agents;
    private final Supplier<ExpertLayout> layout;
    private final Predicate<String> isCoordinator;
    private final Map<EndpointAddress, PeerLink> links = new HashMap<>();
    private final Map<String, GroupPlacement> groups = new HashMap<>();
    private final Supplier<List<EndpointRecord>> endpoints;
    private final EraTracker eras;
    private final DirectEngineAccess directEngines;
    private Set<String> coordinated = Set.of();
    private long lastWatchMillis;

    /**
     * Creates a coordinator that is inactive until {@link #start} is called.
     *
     * @param monitors returns the monitor of the requests to an engine
     */
    public ExpertCoordinator(
            EventLoop loop,
            Clock clock,
            DelayedRunner timer,
            EventSink events,
            Supplier<List<InstanceRecord>> agents,
            Supplier<ExpertLayout> layout,
            EndpointClient client,
            Supplier<List<EndpointRecord>> endpoints,
            Function<EndpointRecord, ExchangeMonitor> monitors,
            EraTracker eras,
            Predicate<String> isCoordinator) {
        this.loop = loop;
        this.clock = clock;
        this.timer = timer;
        this.events = events;
        this.agents = agents;
        this.layout = layout;
        this.endpoints = endpoints;
        this.eras = eras;
        this.directEngines = new DirectEngineAccess(loop, clock, events, client, endpoints, monitors);
        this.isCoordinator = isCoordinator;
    }

    /**
     * Checks for which groups this instance is responsible, advances these groups, and schedules the next check.
     *
     * <p>Only agents of these groups are watched, because the reports of all ranks are too many for one instance.
     */
    public void start() {
        Map<String, List<EndpointRecord>> ranksByGroup = coordinatedRanks();
        boolean isResponsibleNow = !ranksByGroup.isEmpty();
        if (!coordinated.equals(ranksByGroup.keySet())) {
            coordinated = Set.copyOf(ranksByGroup.keySet());
            events.emit(new ExpertEvent(
                    ExpertEventKind.COORDINATION_CHANGED,
                    "",
                    0,
                    0,
                    isResponsibleNow
                            ? "places experts of " + String.join(", ", new TreeSet<>(coordinated))
                            : "places no experts"));
            groups.keySet().retainAll(coordinated);
            if (!isResponsibleNow) {
                directEngines.clear();
            }
        }
        connect(ranksByGroup.values());
        if (isResponsibleNow) {
            sendWatches();
            groups.values().forEach(directEngines::refreshSilentRanks);
            groups.values().forEach(GroupPlacement::advance);
        }
        timer.runAfter(isResponsibleNow ? TICK_MILLIS : IDLE_TICK_MILLIS, this::start);
    }

    /** Returns the registered ranks of each group for which this instance is responsible. */
    private Map<String, List<EndpointRecord>> coordinatedRanks() {
        Map<String, List<EndpointRecord>> ranksByGroup = new HashMap<>();
        if (layout.get().isPlaceable()) {
            for (EndpointRecord endpoint : endpoints.get()) {
                GroupSeat seat = endpoint.seat();
                if (seat != null) {
                    ranksByGroup
                            .computeIfAbsent(seat.group(), group -> new ArrayList<>())
                            .add(endpoint);
                }
            }
            ranksByGroup.keySet().removeIf(isCoordinator.negate());
        }
        return ranksByGroup;
    }

    /** Returns whether this instance places experts. */
    public boolean isActive() {
        return !coordinated.isEmpty();
    }

    /** Returns the slowdown of each endpoint whose engine reports that it is slow. */
    public Map<EndpointId, Double> slowEndpoints() {
        Map<EndpointId, Double> slow = new HashMap<>();
        for (EndpointRecord endpoint : endpoints.get()) {
            GroupSeat seat = endpoint.seat();
            GroupPlacement group = seat == null ? null : groups.get(seat.group());
            if (seat != null && group != null) {
                double slowdown = group.slowdowns().getOrDefault(seat.rank(), 1.0);
                if (slowdown >= MIN_SLOWDOWN) {
                    slow.put(endpoint.id(), slowdown);
                }
            }
        }
        return slow;
    }

    /** Connects to the agents of {@code groupRanks}; an agent runs on the machine of its engine. */
    private void connect(Collection<List<EndpointRecord>> groupRanks) {
        Set<String> hosts = new HashSet<>();
        groupRanks.forEach(ranks -> ranks.forEach(rank -> hosts.add(rank.host())));
        Set<EndpointAddress> currentAddresses = new HashSet<>();
        if (!hosts.isEmpty()) {
            for (InstanceRecord agent : agents.get()) {
                if (hosts.contains(agent.getHost())) {
                    currentAddresses.add(new EndpointAddress(agent.getHost(), agent.getPeerPort()));
                }
            }
        }
        for (EndpointAddress address : currentAddresses) {
            links.computeIfAbsent(address, each -> new PeerLink(loop, each, new AgentMessageHandler()));
        }
        links.entrySet().removeIf(link -> {
            boolean isRemoved = !currentAddresses.contains(link.getKey());
            if (isRemoved) {
                link.getValue().close();
            }
            return isRemoved;
        });
    }

    private void sendWatches() {
        if (clock.monotonicMillis() - lastWatchMillis < WATCH_INTERVAL_MILLIS) {
            return;
        }
        lastWatchMillis = clock.monotonicMillis();
        PeerEnvelope watch = watchMessage();
        links.values().forEach(link -> link.send(watch));
    }

    private long countsIntervalMillis() {
        ExpertLayout experts = layout.get();
        int largestGroup = endpoints.get().stream()
                .mapToInt(endpoint ->
                        endpoint.seat() == null ? 0 : endpoint.seat().size())
                .max()
                .orElse(0);
        return CountSampling.intervalMillis(largestGroup, experts.layers(), experts.experts());
    }

    private PeerEnvelope watchMessage() {
        long era = eras.current().map(StoreEra::number).orElse(0L);
        return PeerEnvelope.newBuilder()
                .setRankWatch(RankWatch.newBuilder()
                        .setWithCounts(true)
                        .setStoreEra(era)
                        .setCountsIntervalMillis((int) countsIntervalMillis()))
                .build();
    }

    /** Handles the messages of one agent. */
    private final class AgentMessageHandler implements PeerListener {
        private RankMessenger messenger = message -> {};

        @Override
        public void onConnected(PeerConnection connection) {
            messenger = connection::send;
            connection.send(watchMessage());
        }

        @Override
        public void onMessage(PeerConnection connection, PeerEnvelope message) {
            if (message.hasRankStatus() && !message.getRankStatus().getGroup().isEmpty()) {
                if (coordinated.contains(message.getRankStatus().getGroup())) {
                    groups.computeIfAbsent(
                                    message.getRankStatus().getGroup(),
                                    name -> new GroupPlacement(
                                            name, clock, timer, events, layout, directEngines::messenger))
                            .onStatus(messenger, message.getRankStatus(), false);
                }
            } else if (message.hasRankOrderReply()) {
                groups.values().forEach(group -> group.onReply(messenger, message.getRankOrderReply()));
            }
        }

        @Override
        public void onClosed(PeerConnection connection) {
            // The rank's last status is used until it is too old; an open change is finished without the agent.
        }
    }
}
