package org.jasminehub.agent;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.jasminehub.agent.admission.AdmissionFilter;
import org.jasminehub.agent.call.AgentCall;
import org.jasminehub.agent.call.CallFilter;
import org.jasminehub.agent.call.CallHandler;
import org.jasminehub.agent.call.DocumentVersionFilter;
import org.jasminehub.agent.call.LeavingFilter;
import org.jasminehub.agent.call.MetricsFilter;
import org.jasminehub.agent.call.RunningCalls;
import org.jasminehub.agent.engine.EndpointClient;
import org.jasminehub.agent.engine.EndpointRelay;
import org.jasminehub.agent.engine.LoadReporter;
import org.jasminehub.agent.operation.OperationFilter;
import org.jasminehub.agent.operation.OperationGuard;
import org.jasminehub.core.admission.AdmissionSettings;
import org.jasminehub.core.drain.AgentDrainPolicy;
import org.jasminehub.core.drain.DrainPhase;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.membership.TargetKind;
import org.jasminehub.core.time.Clock;
import org.jasminehub.wire.ControlRouter;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.WireProtocol;
import org.jasminehub.wire.WireServer;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.Hello;
import org.jasminehub.wire.generated.LeaveReply;
import org.jasminehub.wire.generated.StatusReply;
import org.jasminehub.wire.generated.VersionInForce;

/**
 * One agent: takes calls of entry instances, sends them to its endpoint, and reports the endpoint's load.
 *
 * <pre>{@code
 * try (Agent agent = new Agent(settings, system, group, clock, events, metrics)) {
 *     int port = agent.wirePort();
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class Agent implements AutoCloseable {
    private static final long ANNOUNCE_MILLIS = 3_000;
    private static final long MAX_DRAIN_MILLIS = 900_000;
    private static final AgentDrainPolicy DRAIN = new AgentDrainPolicy(ANNOUNCE_MILLIS, MAX_DRAIN_MILLIS);
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

    private final AgentSettings settings;
    private final ActorSystem<?> system;
    private final Clock clock;
    private final long incarnation;
    private final LeavingFilter leaving = new LeavingFilter();
    private final DocumentVersionFilter versions = new DocumentVersionFilter();
    private final RunningCalls running = new RunningCalls();
    private final OperationGuard operations;
    private final WireServer server;
    private final Cancellable loadTimer;
    private final Cancellable admissionTimer;

    /** Starts an agent; its incarnation is the clock's wall time. */
    public Agent(
            AgentSettings settings,
            ActorSystem<?> system,
            WireGroup group,
            Clock clock,
            EventSink events,
            MetricRegistry metrics) {
        this.settings = settings;
        this.system = system;
        this.clock = clock;
        this.incarnation = clock.wallMillis();
        boolean isModel = settings.target().kind() == TargetKind.MODEL;
        EndpointClient client = new EndpointClient(system, settings.endpoint());
        EndpointRelay relay = new EndpointRelay(system, client, isModel, events);
        this.operations = OperationGuard.create(hello(), settings.target().name(), clock, events);
        OperationFilter onceOnly = new OperationFilter(system, client, operations, EndpointRelay::isConnectFailure);
        AdmissionFilter admission = new AdmissionFilter(clock, AdmissionSettings.defaults(), events);
        CallHandler chain = CallFilter.chain(
                List.of(new MetricsFilter(metrics), running, versions, onceOnly, leaving, admission), relay);
        this.server = WireServer.start(
                group,
                settings.host(),
                settings.wirePort(),
                this::hello,
                incoming -> chain.handle(new AgentCall(incoming, this.clock.monotonicMillis())),
                controlRouter(),
                events);
        LoadReporter reporter = new LoadReporter(
                system,
                client,
                isModel,
                () -> !leaving.isLeaving(),
                load -> server.broadcastLoad(admission.onLoad(load)));
        Duration interval = Duration.ofMillis(settings.loadIntervalMillis());
        this.loadTimer =
                system.scheduler().scheduleAtFixedRate(interval, interval, reporter::report, system.executionContext());
        Duration advance = Duration.ofMillis(AdmissionFilter.ADVANCE_INTERVAL_MILLIS);
        this.admissionTimer =
                system.scheduler().scheduleAtFixedRate(advance, advance, admission::advance, system.executionContext());
    }

    /** Returns the port that entry instances connect to. */
    public int wirePort() {
        return server.port();
    }

    /** Returns how many calls it has not finished. */
    public int runningCalls() {
        return running.count();
    }

    /** Takes no new work from now on and says so to every connected entry instance; does not block. */
    public void leave() {
        leaving.leave();
        server.broadcastHello();
    }

    /**
     * Begins a planned stop: takes no new work and finishes what runs, for a bounded time. The stage completes when the
     * process may end.
     */
    public CompletionStage<Void> drain() {
        leave();
        long startMillis = clock.monotonicMillis();
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        Cancellable poll = system.scheduler()
                .scheduleAtFixedRate(
                        DRAIN_POLL_INTERVAL,
                        DRAIN_POLL_INTERVAL,
                        () -> endDrain(startMillis, stopped),
                        system.executionContext());
        stopped.thenRun(poll::cancel);
        return stopped;
    }

    /** Stops at once; calls that run are cut. */
    @Override
    public void close() {
        loadTimer.cancel();
        admissionTimer.cancel();
        server.close();
    }

    private void endDrain(long startMillis, CompletableFuture<Void> stopped) {
        long elapsedMillis = clock.monotonicMillis() - startMillis;
        if (DRAIN.phase(elapsedMillis, running.count(), true) == DrainPhase.STOPPED) {
            stopped.complete(null);
        }
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setProtocolVersion(WireProtocol.VERSION)
                .setInstance(settings.instance())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .setLeaving(leaving.isLeaving())
                .build();
    }

    private ControlRouter controlRouter() {
        ControlRouter router = new ControlRouter();
        router.on(ControlRequest.BodyCase.STATUS, request -> completed(status()));
        router.on(ControlRequest.BodyCase.TICKET, operations::onRequest);
        router.on(ControlRequest.BodyCase.LEAVE, request -> completed(leaveAndReport()));
        return router;
    }

    private ControlReply.Builder status() {
        StatusReply.Builder status = StatusReply.newBuilder().setHello(hello()).setCurrent(true);
        versions.newestVersions()
                .forEach((team, version) -> status.addVersions(
                        VersionInForce.newBuilder().setTeam(team.value()).setVersion(version)));
        return ControlReply.newBuilder().setStatus(status);
    }

    private ControlReply.Builder leaveAndReport() {
        leave();
        return ControlReply.newBuilder().setLeave(LeaveReply.newBuilder().setRemainingRequests(running.count()));
    }

    private static CompletionStage<ControlReply.Builder> completed(ControlReply.Builder reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
