package org.jasminehub.gateway.control;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.balance.StateAge;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerLink;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.ConfigurationCopy;
import org.jasminehub.wire.generated.EndpointCalls;
import org.jasminehub.wire.generated.EndpointPace;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.PeerEcho;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.PeerStatus;

/**
 * Tells the other entry instances several times a second what this one has in hand, and takes the same from them: open
 * calls by endpoint, the configuration's version and age, and whether they take callers.
 *
 * <p>Used on the process's event loop only.
 */
public final class PeerExchange implements PeerListener {
    /** About the time between two calls to the same endpoint at high load. */
    private static final long STATUS_INTERVAL_MILLIS = 80;

    /** A status is sent at least this often, so that peers know this instance alive. */
    private static final long HEARTBEAT_MILLIS = 240;

    /** Several heartbeats: an instance that is silent for longer is not offered to callers. */
    private static final long SILENT_MILLIS = 900;

    /** For how long an instance that hears nobody goes by what it heard; callers find out by themselves within that. */
    private static final long CUT_OFF_MILLIS = 4_000;

    private final InstanceRegistration registration;
    private final InstanceDirectory directory;
    private final ConfigurationController configuration;
    private final EndpointController endpoints;
    private final EndpointLoads loads;
    private final BooleanSupplier acceptsCallers;
    private final List<EndpointAddress> seeds;
    private final EventLoop loop;
    private final DelayedRunner timer;
    private final Clock clock;
    private final EventSink events;
    private final Map<EndpointAddress, PeerLink> links = new HashMap<>();
    private final Map<String, PeerView> peers = new TreeMap<>();
    private final TreeMap<Long, StateAge.ClockReading> sentTokens = new TreeMap<>();
    private final StateAge moments;
    private Runnable onLoads = () -> {};
    private Supplier<Optional<Map<EndpointId, Double>>> paces = Optional::empty;
    private PeerStatus lastSent = PeerStatus.getDefaultInstance();
    private long lastSentMillis;
    private long nextToken = 1;

    /** Creates an exchange without peers. */
    public PeerExchange(
            InstanceRegistration registration,
            InstanceDirectory directory,
            ConfigurationController configuration,
            EndpointController endpoints,
            EndpointLoads loads,
            BooleanSupplier acceptsCallers,
            List<EndpointAddress> seeds,
            EventLoop loop,
            DelayedRunner timer,
            Clock clock,
            EventSink events) {
        this.registration = registration;
        this.directory = directory;
        this.configuration = configuration;
        this.endpoints = endpoints;
        this.loads = loads;
        this.acceptsCallers = acceptsCallers;
        this.seeds = List.copyOf(seeds);
        this.loop = loop;
        this.timer = timer;
        this.clock = clock;
        this.events = events;
        this.moments = new StateAge(clock);
    }

    /** Tells the peers from now on which endpoints {@code slow} names, if this instance is the one that knows. */
    public void tellPaces(Supplier<Optional<Map<EndpointId, Double>>> slow) {
        paces = slow;
    }

    /** Starts to exchange; {@code newLoads} runs when peers say what they have in hand. */
    public void start(Runnable newLoads) {
        onLoads = newLoads;
        onDirectoryChanged();
        tick();
    }

    /** Connects to the instances that are registered, and to seeds while none is. */
    public void onDirectoryChanged() {
        Set<EndpointAddress> wanted = new HashSet<>();
        for (InstanceRecord entry : directory.entries()) {
            wanted.add(new EndpointAddress(entry.getHost(), entry.getPeerPort()));
        }
        if (wanted.isEmpty()) {
            wanted.addAll(seeds);
        }
        InstanceRecord self = registration.self();
        wanted.remove(new EndpointAddress(self.getHost(), self.getPeerPort()));
        for (EndpointAddress address : wanted) {
            links.computeIfAbsent(address, each -> new PeerLink(loop, each, this));
        }
        links.entrySet().removeIf(link -> {
            boolean isUnwanted = !wanted.contains(link.getKey());
            if (isUnwanted) {
                link.getValue().close();
            }
            return isUnwanted;
        });
    }

    /**
     * Returns the entry instances that callers can be sent to, this one included if it takes callers. Instances that are
     * only registered are not among them, since they may have been off for long.
     */
    public List<InstanceRecord> acceptingInstances() {
        List<InstanceRecord> heard = acceptingSince(clock.monotonicMillis() - SILENT_MILLIS);
        // Without a word from anyone it may be this instance that is cut off, so what was heard before holds a while.
        return heard.isEmpty() ? acceptingSince(clock.monotonicMillis() - CUT_OFF_MILLIS) : heard;
    }

    private List<InstanceRecord> acceptingSince(long fromMillis) {
        Map<String, InstanceRecord> accepting = new TreeMap<>();
        for (PeerView peer : peers.values()) {
            if (peer.heardMillis() >= fromMillis && peer.acceptsCallers()) {
                accepting.put(peer.instance().getInstance(), peer.instance());
            }
        }
        InstanceRecord self = registration.self();
        accepting.remove(self.getInstance());
        if (acceptsCallers.getAsBoolean()) {
            accepting.put(self.getInstance(), self);
        }
        return new ArrayList<>(accepting.values());
    }

    /** Returns whether no live instance that takes callers has a name before this one's. */
    public boolean isFirst() {
        String own = registration.self().getInstance();
        return acceptsCallers.getAsBoolean()
                && acceptingInstances().stream()
                        .noneMatch(each -> each.getInstance().compareTo(own) < 0);
    }

    /** Returns how many entry instances may be alive at most, this one included. */
    public int maxInstances() {
        Set<String> names = new HashSet<>(peers.keySet());
        names.add(registration.self().getInstance());
        directory.entries().forEach(entry -> names.add(entry.getInstance()));
        return names.size();
    }

    /** Sends a status at once, because something changed that others must know. */
    public void announce() {
        broadcast(status());
    }

    private void tick() {
        PeerStatus next = status();
        boolean isChanged = !withoutAges(next).equals(withoutAges(lastSent));
        if (isChanged || clock.monotonicMillis() - lastSentMillis >= HEARTBEAT_MILLIS) {
            broadcast(next);
        }
        timer.runAfter(STATUS_INTERVAL_MILLIS, this::tick);
    }

    private static PeerStatus withoutAges(PeerStatus status) {
        return status.toBuilder().clearConfigurationAgeMillis().clearToken().build();
    }

    private void broadcast(PeerStatus status) {
        lastSent = status;
        lastSentMillis = clock.monotonicMillis();
        sentTokens.put(status.getToken(), moments.now());
        while (sentTokens.size() > SILENT_MILLIS / STATUS_INTERVAL_MILLIS) {
            sentTokens.pollFirstEntry();
        }
        PeerEnvelope message = PeerEnvelope.newBuilder().setPeerStatus(status).build();
        links.values().forEach(link -> link.send(message));
    }

    private PeerStatus status() {
        PeerStatus.Builder status = PeerStatus.newBuilder()
                .setInstance(registration.self())
                .setAcceptsCallers(acceptsCallers.getAsBoolean())
                .setConfigurationVersion(version())
                .setConfigurationAgeMillis(configuration.ageMillis())
                .setToken(nextToken++);
        new TreeMap<>(loads.ownCalls())
                .forEach((endpoint, calls) -> status.addCalls(EndpointCalls.newBuilder()
                        .setEndpointHash(endpoint.value().hashCode())
                        .setCalls(calls)));
        paces.get().ifPresent(slow -> {
            loads.onSlowdowns(slow);
            status.setHasPaces(true);
            new TreeMap<>(slow)
                    .forEach((endpoint, pace) -> status.addPaces(EndpointPace.newBuilder()
                            .setEndpointHash(endpoint.value().hashCode())
                            .setPace(pace)));
        });
        return status.build();
    }

    private long version() {
        return configuration.inForce().map(table -> table.version()).orElse(0L);
    }

    @Override
    public void onConnected(PeerConnection connection) {
        // The next status says who this is.
    }

    @Override
    public void onMessage(PeerConnection connection, PeerEnvelope message) {
        if (message.hasPeerStatus()) {
            onStatus(connection, message.getPeerStatus());
        } else if (message.hasPeerEcho()) {
            onEcho(message.getPeerEcho());
        } else if (message.hasConfigurationCopy()) {
            configuration.onPeerConfiguration(
                    message.getConfigurationCopy().getConfiguration().toByteArray());
        }
    }

    private void onStatus(PeerConnection connection, PeerStatus status) {
        connection.send(PeerEnvelope.newBuilder()
                .setPeerEcho(PeerEcho.newBuilder()
                        .setToken(status.getToken())
                        .setConfigurationVersion(version())
                        .setConfigurationAgeMillis(configuration.ageMillis()))
                .build());
        String name = status.getInstance().getInstance();
        PeerView before = peers.put(
                name, new PeerView(status.getInstance(), status.getAcceptsCallers(), clock.monotonicMillis()));
        if (before == null || before.acceptsCallers() != status.getAcceptsCallers()) {
            events.emit(new ControlEvent(
                    ControlEventKind.INSTANCE_CHANGED,
                    name,
                    status.getAcceptsCallers() ? "takes callers" : "takes no callers",
                    0));
        }
        byte[] bytes = configuration.bytesInForce();
        if (bytes != null && status.getConfigurationVersion() < version()) {
            connection.send(PeerEnvelope.newBuilder()
                    .setConfigurationCopy(ConfigurationCopy.newBuilder().setConfiguration(ByteString.copyFrom(bytes)))
                    .build());
        }
        takeLoads(name, status);
    }

    private void takeLoads(String name, PeerStatus status) {
        Map<Integer, Integer> callsByHash = new HashMap<>();
        status.getCallsList().forEach(calls -> callsByHash.put(calls.getEndpointHash(), calls.getCalls()));
        Map<Integer, Double> pacesByHash = new HashMap<>();
        status.getPacesList().forEach(pace -> pacesByHash.put(pace.getEndpointHash(), pace.getPace()));
        Map<EndpointId, Integer> calls = new HashMap<>();
        Map<EndpointId, Double> slow = new HashMap<>();
        endpoints.all().forEach(endpoint -> {
            int hash = endpoint.id().value().hashCode();
            Integer count = callsByHash.get(hash);
            if (count != null) {
                calls.put(endpoint.id(), count);
            }
            Double pace = pacesByHash.get(hash);
            if (pace != null) {
                slow.put(endpoint.id(), pace);
            }
        });
        loads.onPeerLoads(name, calls);
        if (status.getHasPaces()) {
            loads.onSlowdowns(slow);
        }
        onLoads.run();
    }

    /** An echo is at most as old as the status that it answers, whatever happened to it on the way. */
    private void onEcho(PeerEcho echo) {
        StateAge.ClockReading asked = sentTokens.get(echo.getToken());
        if (asked != null && echo.getConfigurationVersion() == version() && version() > 0) {
            configuration.onPeerKnows(asked, echo.getConfigurationAgeMillis());
        }
    }

    @Override
    public void onClosed(PeerConnection connection) {
        // What the peer said last runs out by itself.
    }
}
