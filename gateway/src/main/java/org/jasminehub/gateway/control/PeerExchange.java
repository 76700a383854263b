package org.jasminehub.gateway.control;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.jasminehub.core.balance.ConfigurationCopyPolicy;
import org.jasminehub.core.balance.StateAge;
import org.jasminehub.core.balance.StatusIntervalPolicy;
import org.jasminehub.core.era.DepartedEndpoint;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.era.StoreEra;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.experts.placement.CoordinatorChoice;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.peer.PeerConnection;
import org.jasminehub.gateway.peer.PeerListener;
import org.jasminehub.wire.generated.ConfigurationCopy;
import org.jasminehub.wire.generated.EndpointDeparture;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jasminehub.wire.generated.PeerEcho;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.PeerStatus;

/**
 * Exchanges status messages with the other entry instances several times a second. A status contains the version
 * and age of the sender's configuration, whether it accepts callers, and the fields of the extensions.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class PeerExchange implements PeerListener {
    /** A confirmed age below this is far from the revocation bound, so peers need not lower it. */
    private static final long CONFIRMATION_WANTED_MILLIS = 900;

    /** The least by which a peer's confirmation must be newer to be worth a message. */
    private static final long MIN_CONFIRMATION_GAIN_MILLIS = 200;

    /** Longest time between two status messages, so that peers can tell that this instance is alive. */
    private static final long HEARTBEAT_MILLIS = 240;

    /** An instance is no longer listed for callers after this time without a status; equals several heartbeats. */
    private static final long PEER_TIMEOUT_MILLIS = 900;

    /**
     * How long an instance that receives no status keeps its last known peers. Callers notice unreachable instances
     * themselves within this time.
     */
    private static final long ISOLATION_TIMEOUT_MILLIS = 4_000;

    /** Statuses whose echoes are still of use: those of the last second at the shortest interval. */
    private static final int MAX_OPEN_TOKENS = 12;

    private final InstanceRegistration registration;
    private final InstanceDirectory directory;
    private final ConfigurationController configuration;
    private final EndpointController endpoints;
    private final EraTracker eras;
    private final BooleanSupplier acceptsCallers;
    private final DelayedRunner timer;
    private final Clock clock;
    private final EventSink events;
    private final PeerLinks links;
    private final ConfigurationCopyPolicy copies;
    private final Map<String, PeerState> peers = new TreeMap<>();
    private final TreeMap<Long, StateAge.ClockReading> sentAtByToken = new TreeMap<>();
    private final StateAge clockReadings;
    private final List<PeerExtension> extensions = new ArrayList<>();
    private Runnable onStatusReceived = () -> {};
    private PeerStatus lastSent = PeerStatus.getDefaultInstance();
    private long lastSentMillis;
    private long nextToken = 1;
    private boolean isInformed;

    /** Creates an exchange without peers. */
    public PeerExchange(
            InstanceRegistration registration,
            InstanceDirectory directory,
            ConfigurationController configuration,
            EndpointController endpoints,
            EraTracker eras,
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
        this.eras = eras;
        this.acceptsCallers = acceptsCallers;
        this.links = new PeerLinks(loop, seeds, this);
        this.timer = timer;
        this.clock = clock;
        this.events = events;
        this.clockReadings = new StateAge(clock);
        this.copies = new ConfigurationCopyPolicy(registration.self().getInstance(), clock);
    }

    /** Adds a user of the connections. */
    public void addExtension(PeerExtension extension) {
        extensions.add(extension);
    }

    /** Sends {@code message} to all connected peers. */
    public void broadcast(PeerEnvelope message) {
        links.broadcast(message);
    }

    /** Sends {@code message} to the peer {@code instance} if it is connected. */
    public void send(String instance, PeerEnvelope message) {
        PeerState peer = peers.get(instance);
        if (peer != null) {
            links.send(peer.instance(), message);
        }
    }

    /** Starts the exchange; {@code statusReceived} runs after each status received from a peer. */
    public void start(Runnable statusReceived) {
        onStatusReceived = statusReceived;
        onDirectoryChanged();
        tick();
    }

    /** Connects to the registered instances, or to the seeds while none is registered. */
    public void onDirectoryChanged() {
        links.connect(directory.entries(), registration.self());
    }

    /**
     * Returns the entry instances to list for callers, including this one if it accepts callers. An instance that is
     * only registered is left out, because it may have been down for a long time.
     */
    public List<InstanceRecord> acceptingInstances() {
        List<InstanceRecord> recent = acceptingSince(clock.monotonicMillis() - PEER_TIMEOUT_MILLIS);
        // If no peer was seen recently, this instance may be the isolated one, so the last known peers are kept for a
        // while.
        return recent.isEmpty() ? acceptingSince(clock.monotonicMillis() - ISOLATION_TIMEOUT_MILLIS) : recent;
    }

    private List<InstanceRecord> acceptingSince(long fromMillis) {
        Map<String, InstanceRecord> accepting = new TreeMap<>();
        for (PeerState peer : peers.values()) {
            if (peer.lastSeenMillis() >= fromMillis && peer.acceptsCallers()) {
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

    /** Returns whether this instance coordinates {@code group}, among the live instances that accept callers. */
    public boolean isCoordinator(String group) {
        if (!acceptsCallers.getAsBoolean()) {
            return false;
        }
        List<CoordinatorChoice.Candidate> candidates = acceptingInstances().stream()
                .map(each -> new CoordinatorChoice.Candidate(each.getInstance(), each.getProcessorCores()))
                .toList();
        return CoordinatorChoice.coordinator(group, candidates)
                .filter(registration.self().getInstance()::equals)
                .isPresent();
    }

    /** Returns whether an instance that accepts callers has shared its state, and this one is not behind it. */
    public boolean isInformed() {
        return isInformed;
    }

    /** Returns the entry instances that sent a status recently, and this one. */
    public List<PeerState> liveInstances() {
        long nowMillis = clock.monotonicMillis();
        String self = registration.self().getInstance();
        List<PeerState> live = new ArrayList<>();
        live.add(new PeerState(registration.self(), acceptsCallers.getAsBoolean(), nowMillis));
        peers.forEach((name, peer) -> {
            if (!name.equals(self) && nowMillis - peer.lastSeenMillis() < PEER_TIMEOUT_MILLIS) {
                live.add(peer);
            }
        });
        return live;
    }

    /** Returns how many entry instances are registered or live, including this one. */
    public int knownInstances() {
        Set<String> names = new HashSet<>();
        liveInstances().forEach(each -> names.add(each.instance().getInstance()));
        directory.entries().forEach(entry -> names.add(entry.getInstance()));
        return names.size();
    }

    /** Returns an upper bound for the number of live entry instances, including this one. */
    public int maxInstances() {
        Set<String> names = new HashSet<>(peers.keySet());
        names.add(registration.self().getInstance());
        directory.entries().forEach(entry -> names.add(entry.getInstance()));
        return names.size();
    }

    /** Sends a status at once, because peers must learn of a change without delay. */
    public void announce() {
        broadcast(status());
    }

    private void tick() {
        PeerStatus next = status();
        boolean isChanged = !withoutAges(next).equals(withoutAges(lastSent));
        if (isChanged || clock.monotonicMillis() - lastSentMillis >= HEARTBEAT_MILLIS) {
            broadcast(next);
        }
        timer.runAfter(StatusIntervalPolicy.intervalMillis(maxInstances()), this::tick);
    }

    private static PeerStatus withoutAges(PeerStatus status) {
        return status.toBuilder().clearConfigurationAgeMillis().clearToken().build();
    }

    private void broadcast(PeerStatus status) {
        lastSent = status;
        lastSentMillis = clock.monotonicMillis();
        sentAtByToken.put(status.getToken(), clockReadings.now());
        while (sentAtByToken.size() > MAX_OPEN_TOKENS) {
            sentAtByToken.pollFirstEntry();
        }
        broadcast(PeerEnvelope.newBuilder().setPeerStatus(status).build());
    }

    private PeerStatus status() {
        PeerStatus.Builder status = PeerStatus.newBuilder()
                .setInstance(registration.self())
                .setAcceptsCallers(acceptsCallers.getAsBoolean())
                .setConfigurationVersion(version())
                .setConfigurationAgeMillis(configuration.ageMillis())
                .setToken(nextToken++)
                .setStoreEra(eras.current().map(StoreEra::number).orElse(0L));
        endpoints
                .departedBeforeRestore()
                .forEach(departed -> status.addDepartures(EndpointDeparture.newBuilder()
                        .setEndpoint(departed.id().value())
                        .setStartedWallMillis(departed.startedWallMillis())
                        .setSequence(departed.sequence())));
        extensions.forEach(extension -> extension.addTo(status));
        return status.build();
    }

    private long version() {
        return configuration.inForce().map(table -> table.version()).orElse(0L);
    }

    @Override
    public void onConnected(PeerConnection connection) {
        // The peer identifies itself with its first status.
        extensions.forEach(extension -> extension.onPeerConnected(connection::send));
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
        } else {
            extensions.forEach(extension -> extension.onPeerMessage(message));
        }
    }

    private void onStatus(PeerConnection connection, PeerStatus status) {
        long ageMillis = configuration.ageMillis();
        if (status.getConfigurationAgeMillis() >= CONFIRMATION_WANTED_MILLIS
                && configuration.answers(status.getConfigurationAgeMillis())
                && ageMillis <= status.getConfigurationAgeMillis() - MIN_CONFIRMATION_GAIN_MILLIS) {
            sendEcho(connection, status, ageMillis);
        }
        shareRestoreState(status);
        onPeerState(connection, status);
    }

    private void sendEcho(PeerConnection connection, PeerStatus status, long ageMillis) {
        connection.send(PeerEnvelope.newBuilder()
                .setPeerEcho(PeerEcho.newBuilder()
                        .setToken(status.getToken())
                        .setConfigurationVersion(version())
                        .setConfigurationAgeMillis(ageMillis))
                .build());
    }

    private void onPeerState(PeerConnection connection, PeerStatus status) {
        String name = status.getInstance().getInstance();
        PeerState previous = peers.put(
                name, new PeerState(status.getInstance(), status.getAcceptsCallers(), clock.monotonicMillis()));
        if (previous == null || previous.acceptsCallers() != status.getAcceptsCallers()) {
            events.emit(new ControlEvent(
                    ControlEventKind.INSTANCE_CHANGED,
                    name,
                    status.getAcceptsCallers() ? "accepts callers" : "does not accept callers",
                    0));
        }
        byte[] bytes = configuration.bytesInForce();
        copies.onInForce(version());
        if (bytes != null
                && status.getConfigurationVersion() < version()
                && copies.trySend(name, status.getConfigurationVersion(), acceptingNames())) {
            connection.send(PeerEnvelope.newBuilder()
                    .setConfigurationCopy(ConfigurationCopy.newBuilder().setConfiguration(ByteString.copyFrom(bytes)))
                    .build());
        }
        extensions.forEach(extension -> extension.onPeerStatus(name, status));
        onStatusReceived.run();
    }

    private List<String> acceptingNames() {
        return acceptingInstances().stream().map(InstanceRecord::getInstance).toList();
    }

    /** Takes over what the peer knows about a restore of the store. */
    private void shareRestoreState(PeerStatus status) {
        if (status.getStoreEra() > 0) {
            eras.observe(new StoreEra(status.getStoreEra()));
        }
        if (status.getDeparturesCount() > 0) {
            endpoints.onPeerDepartures(status.getDeparturesList().stream()
                    .filter(departure -> !departure.getEndpoint().isBlank())
                    .map(departure -> new DepartedEndpoint(
                            new EndpointId(departure.getEndpoint()),
                            departure.getStartedWallMillis(),
                            departure.getSequence()))
                    .toList());
        }
        boolean knowsRestore =
                status.getStoreEra() == eras.current().map(StoreEra::number).orElse(0L);
        isInformed |= knowsRestore && status.getAcceptsCallers() && status.getConfigurationVersion() <= version();
    }

    /** The peer sent the echo after the status, so its confirmation is no older than the time the status was sent. */
    private void onEcho(PeerEcho echo) {
        StateAge.ClockReading requestedAt = sentAtByToken.get(echo.getToken());
        if (requestedAt != null && echo.getConfigurationVersion() == version() && version() > 0) {
            configuration.onPeerConfirmation(requestedAt, echo.getConfigurationAgeMillis());
        }
    }

    @Override
    public void onClosed(PeerConnection connection) {
        // The peer's last status expires by time.
    }
}
