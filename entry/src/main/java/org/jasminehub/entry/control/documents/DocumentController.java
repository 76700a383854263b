package org.jasminehub.entry.control.documents;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jasminehub.core.document.DocumentInForce;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.history.Currency;
import org.jasminehub.core.history.HistoryEvent;
import org.jasminehub.core.history.HistoryState;
import org.jasminehub.core.history.RecordSource;
import org.jasminehub.core.history.RecordSourcePolicy;
import org.jasminehub.core.identity.InstanceId;
import org.jasminehub.core.membership.Member;
import org.jasminehub.core.time.Clock;
import org.jasminehub.platform.log.LogPage;
import org.jasminehub.platform.log.LogService;
import org.jasminehub.wire.generated.ControlReply;
import org.jasminehub.wire.generated.ControlRequest;
import org.jasminehub.wire.generated.RecordsReply;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the documents in force up to date: reads records from the log or a peer, publishes changes and replies to
 * peers.
 *
 * <pre>{@code
 * DocumentController documents = new DocumentController(settings, control, members, log, peers, ids, clock, events,
 *         (inForce, current) -> control.update(state -> state.withDocuments(inForce, current)));
 * control.runPeriodically(documents::refresh, 1_000);
 * }</pre>
 *
 * <p>All methods must run on the control thread, except {@link #onRequest}, which any thread may call.
 */
public final class DocumentController {
    private static final int READERS_PER_DOMAIN = 2;
    private static final int FAN_OUT = 2;
    private static final int MAX_FALLBACK_PEERS = 3;
    private static final int MAX_RECORDS = 256;
    private static final int WAIT_MILLIS = 1_000;
    /** How long no records are requested from a peer after a failed request to it. */
    private static final long SUSPECT_MILLIS = 5_000;

    private final DocumentSettings settings;
    private final Executor control;
    private final Supplier<List<Member>> members;
    private final LogService log;
    private final PeerClient peers;
    private final Clock clock;
    private final EventSink events;
    private final DocumentListener listener;
    private final SnapshotWriter snapshots;
    private final DocumentHistory history = new DocumentHistory();
    private final RecordSourcePolicy sourcePolicy = new RecordSourcePolicy(READERS_PER_DOMAIN, FAN_OUT);
    private final Map<InstanceId, Long> suspectedUntilMillis = new HashMap<>();
    private HistoryState published = HistoryState.EMPTY;
    private Currency publishedCurrency = Currency.UNKNOWN;
    private boolean reading;
    private boolean started;
    private int fallbackRequests;

    /** Creates a controller; {@code snapshotIds} supplies a unique id for each snapshot. */
    public DocumentController(
            DocumentSettings settings,
            Executor control,
            Supplier<List<Member>> members,
            LogService log,
            PeerClient peers,
            Supplier<String> snapshotIds,
            Clock clock,
            EventSink events,
            DocumentListener listener) {
        this.settings = settings;
        this.control = control;
        this.members = members;
        this.log = log;
        this.peers = peers;
        this.clock = clock;
        this.events = events;
        this.listener = listener;
        this.snapshots = new SnapshotWriter(settings, log, control, clock, snapshotIds, events);
    }

    /** Starts reading new records unless a read is in progress, and writes a snapshot if one is due. */
    public void refresh() {
        publish();
        if (history.currency(clock.monotonicMillis()) == Currency.CURRENT) {
            snapshots.writeIfDue(history.state(), members.get());
        }
        read();
    }

    /** Replies to a peer's request for records. */
    public CompletionStage<ControlReply.Builder> onRequest(ControlRequest request) {
        return CompletableFuture.supplyAsync(
                () -> ControlReply.newBuilder()
                        .setRecords(history.replyTo(request.getRecords(), clock.monotonicMillis())),
                control);
    }

    private void read() {
        if (reading) {
            return;
        }
        RecordSource source = sourcePolicy.source(settings.self(), settings.failureDomain(), reachable());
        if (source instanceof RecordSource.Peer peer) {
            requestRecords(peer.member());
        } else {
            readLog();
        }
    }

    private void readLog() {
        reading = true;
        long requestedAtMillis = clock.monotonicMillis();
        log.read(history.nextOffset(), MAX_RECORDS, WAIT_MILLIS)
                .whenCompleteAsync((page, failure) -> onPage(page, failure, requestedAtMillis), control);
    }

    private void onPage(@Nullable LogPage page, @Nullable Throwable failure, long requestedAtMillis) {
        reading = false;
        if (page == null) {
            events.emit(new DocumentEvent.RecordsUnavailable("log", causeOf(failure)));
            requestFromFallbackPeer();
            return;
        }
        accept(history.applyPage(page, requestedAtMillis));
        // An empty page that arrived without waiting is not followed by another read, which would poll in a tight loop.
        boolean waited = clock.monotonicMillis() - requestedAtMillis >= WAIT_MILLIS / 2;
        if (!page.records().isEmpty() || waited) {
            readLog();
        } else if (!history.isComplete()) {
            requestFromFallbackPeer();
        }
    }

    private void requestFromFallbackPeer() {
        List<Member> fallbackPeers =
                sourcePolicy.fallbackPeers(settings.self(), settings.failureDomain(), reachable(), MAX_FALLBACK_PEERS);
        if (!fallbackPeers.isEmpty()) {
            requestRecords(fallbackPeers.get(fallbackRequests++ % fallbackPeers.size()));
        } else if (isOnlyEntryInstance()) {
            history.recordNoPeers(clock.monotonicMillis());
            publish();
        }
    }

    private void requestRecords(Member peer) {
        reading = true;
        long requestedAtMillis = clock.monotonicMillis();
        peers.requestRecords(peer, history.request())
                .whenCompleteAsync((reply, failure) -> onReply(peer, reply, failure, requestedAtMillis), control);
    }

    private void onReply(
            Member peer, @Nullable RecordsReply reply, @Nullable Throwable failure, long requestedAtMillis) {
        reading = false;
        if (reply == null) {
            suspectedUntilMillis.put(peer.id(), clock.monotonicMillis() + SUSPECT_MILLIS);
            events.emit(new DocumentEvent.RecordsUnavailable(peer.id().value(), causeOf(failure)));
            return;
        }
        long before = history.state().completeTo();
        accept(history.applyReply(peer.id().value(), reply, requestedAtMillis));
        long now = history.state().completeTo();
        if (now > before && now < reply.getNextOffset()) {
            requestRecords(peer);
        }
    }

    private void accept(List<HistoryEvent> decided) {
        for (HistoryEvent event : decided) {
            events.emit(event);
            if (event instanceof HistoryEvent.SnapshotSeen snapshot) {
                snapshots.onSnapshotSeen(snapshot);
            }
        }
        publish();
    }

    /**
     * Publishes changes to the listener. Nothing is published before the documents were confirmed up to date for the
     * first time, so that no outdated version is served.
     */
    private void publish() {
        HistoryState state = history.state();
        Currency currency = history.currency(clock.monotonicMillis());
        if (!started && !currency.isServing()) {
            return;
        }
        started = true;
        boolean isSame = state.documents() == published.documents() && currency == publishedCurrency;
        if (isSame) {
            return;
        }
        if (currency != publishedCurrency) {
            events.emit(
                    new DocumentEvent.CurrencyChanged(publishedCurrency.name(), currency.name(), history.nextOffset()));
        }
        published = state;
        publishedCurrency = currency;
        listener.onDocuments(documentsOf(state), currency.isServing());
    }

    private static List<DocumentInForce> documentsOf(HistoryState state) {
        return state.documents().values().stream()
                .map(document -> new DocumentInForce(document.document(), document.version()))
                .toList();
    }

    /** Returns whether no other entry instance is known, reachable or not. */
    private boolean isOnlyEntryInstance() {
        return sourcePolicy
                .fallbackPeers(settings.self(), settings.failureDomain(), members.get(), 1)
                .isEmpty();
    }

    private List<Member> reachable() {
        long nowMillis = clock.monotonicMillis();
        suspectedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        return members.get().stream()
                .filter(member -> !suspectedUntilMillis.containsKey(member.id()))
                .toList();
    }

    private static String causeOf(@Nullable Throwable failure) {
        return failure == null ? "no response received" : String.valueOf(failure.getMessage());
    }
}
