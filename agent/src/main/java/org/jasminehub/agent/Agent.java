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
 * An agent, which accepts calls from entry instances, forwards them to its endpoint and reports the endpoint's load.
 *
 * <pre>{@code
 * try (Agent agent = new Agent(settings, system, group, clock, events, metrics)) {
 *     int port = agent.wirePort();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class Agent implements AutoCloseable {
    private static final long ANNOUNCE_MILLIS = 3_000;
    private static final long MAX_DRAIN_MILLIS = 900_000;
    private static final AgentDrainPolicy DRAIN_POLICY = new AgentDrainPolicy(ANNOUNCE_MILLIS, MAX_DRAIN_MILLIS);
    private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(50);

    private final AgentSettings settings;
    private final ActorSystem<?> system;
    private final Clock clock;
    private final long incarnation;
    private final LeavingFilter leavingFilter = new LeavingFilter();
    private final DocumentVersionFilter versionFilter = new DocumentVersionFilter();
    private final RunningCalls runningCalls = new RunningCalls();
    private final OperationGuard operations;
    private final OperationFilter operationFilter;
    private final WireServer server;
    private final Cancellable loadTimer;
    private final Cancellable admissionTimer;

    /** Starts an agent and uses the current wall time as its incarnation. */
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
        this.operationFilter = new OperationFilter(system, client, operations, EndpointRelay::isConnectFailure);
        AdmissionFilter admission = new AdmissionFilter(clock, AdmissionSettings.defaults(), events);
        CallHandler handler = CallFilter.chain(
                List.of(
                        new MetricsFilter(metrics),
                        runningCalls,
                        versionFilter,
                        operationFilter,
                        leavingFilter,
                        admission),
                relay);
        this.server = WireServer.start(
                group,
                settings.host(),
                settings.wirePort(),
                this::hello,
                incoming -> handler.handle(new AgentCall(incoming, this.clock.monotonicMillis())),
                controlRouter(),
                events);
        LoadReporter reporter = new LoadReporter(
                system,
                client,
                isModel,
                () -> !leavingFilter.isLeaving(),
                load -> server.broadcastLoad(admission.onLoad(load)));
        Duration loadInterval = Duration.ofMillis(settings.loadIntervalMillis());
        this.loadTimer = system.scheduler()
                .scheduleAtFixedRate(loadInterval, loadInterval, reporter::report, system.executionContext());
        Duration admissionInterval = Duration.ofMillis(AdmissionFilter.ADVANCE_INTERVAL_MILLIS);
        this.admissionTimer = system.scheduler()
                .scheduleAtFixedRate(
                        admissionInterval, admissionInterval, admission::advance, system.executionContext());
    }

    /** Returns the port that entry instances connect to. */
    public int wirePort() {
        return server.port();
    }

    /** Returns the number of calls that have not ended. */
    public int runningCalls() {
        return runningCalls.count();
    }

    /** Stops accepting new calls and notifies every connected entry instance; does not block. */
    public void leave() {
        leavingFilter.leave();
        server.broadcastHello();
    }

    /**
     * Starts a graceful shutdown: stops accepting new calls and lets running calls and operations finish within a time
     * limit. The returned stage completes when the process may exit.
     */
    public CompletionStage<Void> drain() {
        leave();
        long startMillis = clock.monotonicMillis();
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        Cancellable poll = system.scheduler()
                .scheduleAtFixedRate(
                        DRAIN_POLL_INTERVAL,
                        DRAIN_POLL_INTERVAL,
                        () -> completeIfDrained(startMillis, stopped),
                        system.executionContext());
        stopped.thenRun(poll::cancel);
        return stopped;
    }

    /** Stops immediately and interrupts running calls. */
    @Override
    public void close() {
        loadTimer.cancel();
        admissionTimer.cancel();
        server.close();
    }

    /** An operation whose caller is gone is still open, because its result would be lost with the process. */
    private int openRequests() {
        return Math.max(runningCalls.count(), operationFilter.runningOperations());
    }

    private void completeIfDrained(long startMillis, CompletableFuture<Void> stopped) {
        long elapsedMillis = clock.monotonicMillis() - startMillis;
        if (DRAIN_POLICY.phase(elapsedMillis, openRequests(), true) == DrainPhase.STOPPED) {
            stopped.complete(null);
        }
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setProtocolVersion(WireProtocol.VERSION)
                .setInstance(settings.instance())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .setLeaving(leavingFilter.isLeaving())
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
        versionFilter
                .newestVersions()
                .forEach((team, version) -> status.addVersions(
                        VersionInForce.newBuilder().setTeam(team.value()).setVersion(version)));
        return ControlReply.newBuilder().setStatus(status);
    }

    private ControlReply.Builder leaveAndReport() {
        leave();
        return ControlReply.newBuilder().setLeave(LeaveReply.newBuilder().setRemainingRequests(openRequests()));
    }

    private static CompletionStage<ControlReply.Builder> completed(ControlReply.Builder reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
