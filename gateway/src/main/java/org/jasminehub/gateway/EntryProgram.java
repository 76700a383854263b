package org.jasminehub.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jasminehub.core.balance.CallRetryBudget;
import org.jasminehub.core.balance.EndpointLoads;
import org.jasminehub.core.balance.QuietPeriods;
import org.jasminehub.core.era.EraTracker;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.serving.RouteTable;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.call.CallDispatcher;
import org.jasminehub.gateway.call.CallPipeline;
import org.jasminehub.gateway.call.CallSettings;
import org.jasminehub.gateway.call.ConfigurationView;
import org.jasminehub.gateway.call.DomainTraffic;
import org.jasminehub.gateway.call.SharedQueues;
import org.jasminehub.gateway.cold.ColdEndpointController;
import org.jasminehub.gateway.control.ConfigurationController;
import org.jasminehub.gateway.control.ConfigurationReads;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.control.EndpointController;
import org.jasminehub.gateway.control.EndpointMonitors;
import org.jasminehub.gateway.control.EvacuationController;
import org.jasminehub.gateway.control.InstanceDirectory;
import org.jasminehub.gateway.control.InstanceRegistration;
import org.jasminehub.gateway.control.LoadExchange;
import org.jasminehub.gateway.control.PeerExchange;
import org.jasminehub.gateway.control.StoreReliability;
import org.jasminehub.gateway.control.SuspensionDetector;
import org.jasminehub.gateway.experts.ExpertCoordinator;
import org.jasminehub.gateway.net.EndpointAddress;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.gateway.peer.PeerServer;
import org.jasminehub.gateway.quarantine.QuarantineController;
import org.jasminehub.gateway.ratelimit.RateLimitController;
import org.jasminehub.gateway.telemetry.MetricsHandler;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.wire.generated.InstanceRecord;
import org.jspecify.annotations.Nullable;

/**
 * An entry instance on the hosting platform: accepts calls from callers and sends them directly to endpoints.
 *
 * <p>All state is confined to a single event loop.
 */
final class EntryProgram implements ConfigurationView {
    /** Share of the revocation bound up to which the configuration counts as fresh; the rest is a safety margin. */
    private static final double FRESH_SHARE = 0.9;

    /** Calls to plain endpoints are short, so a few may queue at the endpoint beside those being processed. */
    private static final double PLAIN_CALLS_PER_SLOT = 3;

    /**
     * A call queued at one engine would be late; it waits here instead, where it can go to any engine that becomes
     * free.
     */
    private static final double ENGINE_CALLS_PER_SLOT = 1;

    /** How often the clocks are compared and idle connections are closed. */
    private static final long TICK_INTERVAL_MILLIS = 200;

    private final GatewaySettings settings;
    private final Clock clock;
    private final EventSink events;
    private final MetricRegistry metrics;
    private final EventLoop loop;
    private final DelayedRunner timer;
    private final EndpointClient client;
    private final ConfigurationController configuration;
    private final EndpointController endpoints;
    private final RateLimitController rateLimits;
    private final EndpointMonitors monitors;
    private final ColdEndpointController cold;
    private final InstanceRegistration registration;
    private final InstanceDirectory instances;
    private final PeerExchange peers;
    private final StoreReliability storeReliability;
    private final ExpertCoordinator experts;
    private final EraTracker eras;
    private final EvacuationController evacuations;
    private final SuspensionDetector suspension;
    private final EndpointLoads loads;
    private final CallRetryBudget retryBudget;
    private final SharedQueues sharedQueues;
    private final CallDispatcher dispatcher;
    private final StopSequence stopSequence;
    private final QuarantineController quarantine;
    private @Nullable EntryTraffic entryTraffic;
    private boolean isReady;
    private boolean isStopping;

    EntryProgram(GatewaySettings settings, Clock clock, EventSink events, MetricRegistry metrics) {
        this.metrics = metrics;
        this.settings = settings;
        this.clock = clock;
        this.events = events;
        this.loop = EntrySetup.newLoop();
        this.timer = (delayMillis, action) -> loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
        this.client = new EndpointClient(loop, clock);
        this.eras = new EraTracker(clock);
        StoreClient store = EntrySetup.newStore(settings, client, eras, metrics);
        RandomGenerator random = new SplittableRandom(settings.instance().hashCode() ^ clock.wallMillis());
        this.evacuations = new EvacuationController(eras, clock, events);
        ConfigurationReads reads = new ConfigurationReads(settings.instance(), eras, clock);
        this.configuration = new ConfigurationController(
                store,
                reads,
                StoreReads.configuration(reads, this::instanceCount),
                timer,
                clock,
                events,
                eras,
                evacuations);
        this.endpoints = createEndpointController(store);
        this.registration =
                new InstanceRegistration(EntrySetup.self(settings, clock), store, timer, events, eras, random);
        this.instances = new InstanceDirectory(registration, store, StoreReads.instances(), timer, clock, events, eras);
        this.loads = new EndpointLoads(clock);
        this.peers = createPeerExchange();
        this.storeReliability = new StoreReliability(eras, instances, registration, peers::isInformed, clock);
        this.rateLimits = new RateLimitController(settings.instance(), peers, timer, clock, events);
        this.monitors =
                new EndpointMonitors(endpoints, new QuietPeriods(clock), rateLimits, evacuations, clock, events);
        this.cold = new ColdEndpointController(
                settings.instance(), configuration::inForce, endpoints, monitors, peers, timer, clock, events);
        this.experts = new ExpertCoordinator(
                loop,
                clock,
                timer,
                events,
                instances::rankAgents,
                () -> EntrySetup.expertLayout(configuration.inForce()),
                client,
                endpoints::all,
                monitors::forEngine,
                eras,
                peers::isCoordinator);
        this.retryBudget = EntrySetup.newRetryBudget(settings, clock);
        this.quarantine = new QuarantineController(client, store, instances, peers, timer, random, clock, events);
        this.sharedQueues = createSharedQueues(random);
        this.dispatcher = createDispatcher(random);
        this.stopSequence = new StopSequence(settings, clock, timer, events);
        this.suspension = new SuspensionDetector(settings.instance(), clock, events, () -> {
            configuration.refresh();
            endpoints.refresh();
        });
    }

    private EndpointController createEndpointController(StoreClient store) {
        return new EndpointController(
                store,
                StoreReads.endpoints(settings.drainMillis()),
                timer,
                clock,
                events,
                eras,
                evacuations::isEvacuated);
    }

    private CallDispatcher createDispatcher(RandomGenerator random) {
        DomainTraffic traffic = new DomainTraffic(new FailureDomain(settings.failureDomain()), metrics, events);
        return new CallDispatcher(
                loop,
                clock,
                client,
                endpoints,
                monitors,
                rateLimits.permits(),
                cold,
                loads,
                EntrySetup.newChoice(settings, loads, clock, random, peers::maxInstances, traffic),
                traffic,
                retryBudget,
                quarantine,
                service -> service == null || service.engine() == null ? PLAIN_CALLS_PER_SLOT : ENGINE_CALLS_PER_SLOT,
                sharedQueues,
                random,
                events);
    }

    private PeerExchange createPeerExchange() {
        return new PeerExchange(
                registration,
                instances,
                configuration,
                endpoints,
                eras,
                () -> isReady,
                settings.seeds().stream().map(EndpointAddress::parse).toList(),
                loop,
                timer,
                clock,
                events);
    }

    private SharedQueues createSharedQueues(RandomGenerator random) {
        return new SharedQueues(
                settings.instance(),
                settings.capacity().sharedQueuesMinInstances(),
                peers::maxInstances,
                service -> configuration
                        .inForce()
                        .map(table -> table.hasSeveralPriorities(service))
                        .orElse(false),
                clock,
                random,
                events);
    }

    /** Returns an upper bound for the number of entry instances, 1 before they are known. */
    private int instanceCount() {
        return peers == null ? 1 : peers.maxInstances();
    }

    /**
     * Opens all listeners and starts to read the configuration and the registrations; returns once all ports are bound.
     */
    synchronized void start() {
        CallPipeline pipeline = new CallPipeline(
                clock,
                this,
                new CallSettings((long) (settings.revocationMillis() * FRESH_SHARE)),
                stopSequence,
                dispatcher);
        ClientResources resources = new ClientResources(settings.clients(), DescriptorShares.ofProcess(), clock);
        EntryTraffic opened = new EntryTraffic(
                loop, configuration, events, dispatcher, resources, settings.callerAddress(), pipeline);
        DirectoryHandler directory = new DirectoryHandler(() -> isReady, peers::acceptingInstances, settings);
        opened.listenForOthers(settings, directory, new MetricsHandler(metrics));
        registerGauges();
        resources.register(metrics, opened);
        PeerServer.start(loop, EndpointAddress.parse(settings.peerAddress()), peers, resources.forPeers());
        loop.execute(() -> {
            evacuations.start(endpoints, peers::addExtension);
            configuration.start(this::onConfigurationApplied);
            endpoints.start(
                    this::onEndpointsChanged,
                    endpoint -> client.closeConnections(addressOf(endpoint.host(), endpoint.port())));
            instances.start(() -> {
                retryBudget.setInstances(peers.maxInstances());
                peers.onDirectoryChanged();
                quarantine.onDirectoryChanged();
                updateReadiness();
            });
            quarantine.start(dispatcher::refuseQuarantined);
            rateLimits.start(dispatcher::dispatchQueued);
            peers.addExtension(new LoadExchange(
                    settings.instance(),
                    endpoints,
                    loads,
                    () -> experts.isActive() ? Optional.of(experts.slowEndpoints()) : Optional.empty()));
            peers.addExtension(sharedQueues);
            peers.start(dispatcher::dispatchQueued);
            experts.start();
            tick();
        });
        entryTraffic = opened;
        events.emit(new ControlEvent(
                ControlEventKind.PROCESS_STARTED, settings.instance(), "listening on " + settings.callerAddress(), 0));
    }

    private void registerGauges() {
        EntryGauges.register(metrics, configuration, endpoints, monitors, client, peers, dispatcher, () -> isReady);
        rateLimits.register(metrics);
        evacuations.register(metrics);
        cold.register(metrics);
        quarantine.register(metrics);
        sharedQueues.register(metrics);
    }

    /** Returns the client used for calls to endpoints. */
    EndpointClient client() {
        return client;
    }

    /** Returns the port that callers connect to, or 0 before the start. */
    int callerPort() {
        return entryTraffic == null ? 0 : entryTraffic.callerPort();
    }

    /** Returns the names of the instances listed for callers. Thread-safe. */
    List<String> acceptingNames() {
        return loop.submit(() -> peers.acceptingInstances().stream()
                        .map(InstanceRecord::getInstance)
                        .toList())
                .awaitUninterruptibly()
                .getNow();
    }

    /** Returns whether the endpoint {@code id} is known and in the given state. Thread-safe. */
    boolean knowsEndpoint(String id, boolean isDraining) {
        return loop.submit(() -> endpoints
                        .find(new EndpointId(id))
                        .map(endpoint -> endpoint.isDraining() == isDraining)
                        .orElse(false))
                .awaitUninterruptibly()
                .getNow();
    }

    private static EndpointAddress addressOf(String host, int port) {
        return new EndpointAddress(host, port);
    }

    private void onConfigurationApplied() {
        cold.onChanged();
        updateReadiness();
    }

    private void onEndpointsChanged() {
        rateLimits.onRegistrations(endpoints.all());
        evacuations.onRegistrations(endpoints.all());
        cold.onChanged();
        dispatcher.dispatchQueued();
        updateReadiness();
    }

    @Override
    public Optional<RouteTable> inForce() {
        return storeReliability.isReliable() ? configuration.inForce() : Optional.empty();
    }

    @Override
    public long ageMillis() {
        // A suspension or a clock step makes the configuration look old until it is read again, so calls must not wait
        // for the next tick.
        suspension.check();
        return configuration.ageMillis();
    }

    private void tick() {
        suspension.check();
        configuration.checkReads(peers::liveInstances);
        client.closeIdle();
        updateReadiness();
        timer.runAfter(TICK_INTERVAL_MILLIS, this::tick);
    }

    /** Re-evaluates whether this instance accepts callers. */
    private void updateReadiness() {
        if (configuration.inForce().isPresent()) {
            storeReliability.onConfigurationKnown();
        }
        boolean isFresh = configuration.inForce().isPresent()
                && configuration.ageMillis() < settings.revocationMillis() * FRESH_SHARE;
        // Shares of the retry budget and of rate limits depend on the number of instances.
        boolean hasRead = endpoints.ageMillis() != Long.MAX_VALUE && instances.hasRead();
        boolean isNowReady = storeReliability.isReliable() && isFresh && hasRead && !isStopping;
        if (isNowReady != isReady) {
            isReady = isNowReady;
            events.emit(new ControlEvent(
                    ControlEventKind.READINESS_CHANGED,
                    settings.instance(),
                    isNowReady ? "ready" : "not ready",
                    configuration.ageMillis()));
        }
    }

    /**
     * Completes the open calls and deregisters; blocks until that is done or the grace time is nearly over. Does nothing
     * unless the program has started.
     */
    void stop() {
        long requestedMillis = clock.monotonicMillis();
        EntryTraffic open = awaitTraffic();
        if (open == null) {
            return;
        }
        loop.execute(() -> {
            isStopping = true;
            // First, so that a failure of the rest does not prevent the stop.
            open.disableKeepAlive();
            stopSequence.run(open, requestedMillis);
            updateReadiness();
            peers.announce();
            registration.deregister();
        });
        stopSequence.await(requestedMillis);
    }

    /** Returns the traffic, null before the start; waits for the end of a start that has begun. */
    private synchronized @Nullable EntryTraffic awaitTraffic() {
        return entryTraffic;
    }
}
