package org.jasminehub.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.jasminehub.core.address.AddressPolicy;
import org.jasminehub.core.drain.EntryDrainPolicy;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.identity.FailureDomain;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.identity.RequestId;
import org.jasminehub.core.retry.OutlierPolicy;
import org.jasminehub.core.retry.OutlierSettings;
import org.jasminehub.core.routing.EndpointTracker;
import org.jasminehub.core.time.Clock;
import org.jasminehub.entry.control.ControlState;
import org.jasminehub.entry.control.ControlThread;
import org.jasminehub.entry.control.documents.DocumentController;
import org.jasminehub.entry.control.documents.DocumentSettings;
import org.jasminehub.entry.control.documents.WirePeerClient;
import org.jasminehub.entry.control.members.MembershipController;
import org.jasminehub.entry.control.members.PeerLinks;
import org.jasminehub.entry.drain.DrainController;
import org.jasminehub.entry.endpoint.EndpointDirectory;
import org.jasminehub.entry.filter.RequestHandler;
import org.jasminehub.entry.filter.operation.HomeTableController;
import org.jasminehub.entry.filter.operation.OperationKeyPage;
import org.jasminehub.entry.http.CallerServer;
import org.jasminehub.entry.http.CallerServerFactory;
import org.jasminehub.platform.list.HttpInstanceListService;
import org.jasminehub.platform.log.HttpLogService;
import org.jasminehub.wire.ControlRouter;
import org.jasminehub.wire.WireGroup;
import org.jasminehub.wire.WireProtocol;
import org.jasminehub.wire.WireServer;
import org.jasminehub.wire.generated.AnswerRefused;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.Hello;

/**
 * An entry instance: accepts requests from callers and forwards them to endpoints through their agents.
 *
 * <pre>{@code
 * try (EntryInstance entry = new EntryInstance(settings, system, group, ids, clock, events, metrics)) {
 *     int port = entry.callerPort();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class EntryInstance implements AutoCloseable {
    private static final int ADDRESSES_PER_WORKSPACE = 3;
    private static final int PLATFORM_TIMEOUT_MILLIS = 3_000;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 2_000;
    private static final long LOG_RETENTION_MILLIS = 86_400_000;
    private static final long RECORDS_INTERVAL_MILLIS = 1_000;
    private static final long LOG_RETRY_INTERVAL_MILLIS = 250;
    private static final long HOME_TABLE_INTERVAL_MILLIS = 500;
    /** How long other instances may still list this instance after it announced that it is leaving. */
    private static final long LIST_LAG_MILLIS = 3_000;

    private static final long MAX_DRAIN_MILLIS = 900_000;

    private final EntrySettings settings;
    private final long incarnation;
    private final ControlThread control = new ControlThread();
    private final MembershipController membership;
    private final PeerLinks peerLinks;
    private final EndpointDirectory directory;
    private final WirePeerClient peerRecords;
    private final HomeTableController homes;
    private final DrainController drain;
    private final WireServer wireServer;
    private final CallerServer callerServer;

    /**
     * Starts an entry instance. Its incarnation is the clock's wall time at the start.
     *
     * @param settings the settings of this instance
     * @param system the actor system that runs the HTTP server and clients
     * @param group the I/O threads of the connections to other processes
     * @param ids supplies a unique id for each request and for each snapshot of the documents
     * @param clock the clock
     * @param events receives the events of this instance
     * @param metrics the registry for the metrics of requests
     */
    public EntryInstance(
            EntrySettings settings,
            ActorSystem<?> system,
            WireGroup group,
            Supplier<RequestId> ids,
            Clock clock,
            EventSink events,
            MetricRegistry metrics) {
        this.settings = settings;
        this.incarnation = clock.wallMillis();
        this.drain = new DrainController(
                settings.instance(),
                new EntryDrainPolicy(LIST_LAG_MILLIS, settings.addressTtlMillis(), MAX_DRAIN_MILLIS),
                control,
                clock,
                events);
        this.peerLinks = new PeerLinks(group, this::hello);
        this.membership = newMembership(system, clock, events);
        this.directory = new EndpointDirectory(
                group,
                this::hello,
                new EndpointTracker(clock),
                new OutlierPolicy(clock, OutlierSettings.defaults(), events),
                membership);
        this.peerRecords = new WirePeerClient(group, this::hello);
        DocumentController documents = documentController(system, ids, clock, events);
        ControlRouter router = new ControlRouter();
        router.on(ControlRequest.BodyCase.RECORDS, documents::onRequest);
        this.wireServer = WireServer.start(
                group,
                settings.host(),
                settings.wirePort(),
                this::hello,
                call -> call.refuse(AnswerRefused.newBuilder().setCode("protocol-violation")),
                router,
                events);
        HttpLogService log = new HttpLogService(system, settings.log(), PLATFORM_TIMEOUT_MILLIS);
        this.homes = new HomeTableController(new InstanceId(settings.instance()), control, log, directory);
        AddressPolicy addresses = new AddressPolicy(ADDRESSES_PER_WORKSPACE);
        RequestHandler chain = new RequestChainFactory(
                        settings, system, control, directory, addresses, clock, events, metrics)
                .create(drain, homes);
        this.callerServer = new CallerServerFactory(system, settings, addresses, control::state, ids, clock, events)
                .start(chain, new OperationKeyPage(directory), drain::isLeaving);
        startControllers(documents);
    }

    /** Returns the port that callers connect to. */
    public int callerPort() {
        return callerServer.port();
    }

    /** Returns the port that other processes of the system connect to. */
    public int wirePort() {
        return wireServer.port();
    }

    /** Returns the current documents and members. */
    public ControlState state() {
        return control.state();
    }

    /** Returns whether this instance can serve: its documents are up to date and it knows at least one member. */
    public boolean isReady() {
        return state().isCurrent() && !state().members().isEmpty();
    }

    /** Returns the connections to agents. */
    public EndpointDirectory directory() {
        return directory;
    }

    /** Returns the controller of the home tables of operation keys. */
    public HomeTableController homes() {
        return homes;
    }

    /** Starts draining and notifies the peers. The returned stage completes when this instance may stop. */
    public CompletionStage<Void> drain() {
        CompletionStage<Void> stopped = drain.begin();
        control.execute(wireServer::broadcastHello);
        return stopped;
    }

    /** Stops immediately and aborts running requests; after a drain, responses that exist are still written. */
    @Override
    public void close() {
        control.close();
        if (drain.isLeaving()) {
            callerServer.closeWhenWritten();
        } else {
            callerServer.close();
        }
        wireServer.close();
        peerRecords.close();
        directory.close();
        peerLinks.close();
    }

    private DocumentController documentController(
            ActorSystem<?> system, Supplier<RequestId> ids, Clock clock, EventSink events) {
        return new DocumentController(
                new DocumentSettings(
                        new InstanceId(settings.instance()),
                        new FailureDomain(settings.failureDomain()),
                        LOG_RETENTION_MILLIS),
                control,
                () -> control.state().members(),
                new HttpLogService(system, settings.log(), PLATFORM_TIMEOUT_MILLIS),
                peerRecords,
                () -> ids.get().value(),
                clock,
                events,
                (inForce, isServing) -> control.update(state -> state.withDocuments(inForce, isServing)));
    }

    private void startControllers(DocumentController documents) {
        control.runPeriodically(membership::refresh, settings.listIntervalMillis());
        control.runPeriodically(membership::sendHeartbeat, HEARTBEAT_INTERVAL_MILLIS);
        control.runPeriodically(documents::refresh, RECORDS_INTERVAL_MILLIS);
        control.runPeriodically(homes::refresh, LOG_RETRY_INTERVAL_MILLIS);
        control.runPeriodically(homes::coordinate, HOME_TABLE_INTERVAL_MILLIS);
    }

    private MembershipController newMembership(ActorSystem<?> system, Clock clock, EventSink events) {
        return new MembershipController(
                new InstanceId(settings.instance()),
                this::hello,
                control,
                new HttpInstanceListService(system, settings.instanceList(), PLATFORM_TIMEOUT_MILLIS),
                peerLinks,
                domain -> 0,
                agents -> directory().update(agents),
                () -> wireServer().broadcastHello(),
                clock,
                events);
    }

    private WireServer wireServer() {
        return wireServer;
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setProtocolVersion(WireProtocol.VERSION)
                .setInstance(settings.instance())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .setLeaving(drain.isLeaving())
                .addAllMembers(membership.reports())
                .build();
    }
}
