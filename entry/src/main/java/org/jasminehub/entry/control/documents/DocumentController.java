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
 * Keeps the documents in force: reads the log or a peer, decides, publishes what changed, and answers peers.
 *
 * <pre>{@code
 * DocumentController documents = new DocumentController(settings, control, members, log, peers, ids, clock, events,
 *         (inForce, current) -> control.update(state -> state.withDocuments(inForce, current)));
 * control.repeat(documents::refresh, 1_000);
 * }</pre>
 *
 * <p>All methods run on the control thread, but {@link #onRequest}, which any thread may call.
 */
public final class DocumentController {
    private static final int READERS_PER_DOMAIN = 2;
    private static final int FAN_OUT = 2;
    private static final int MAX_ALTERNATES = 3;
    private static final int MAX_RECORDS = 256;
    private static final int WAIT_MILLIS = 1_000;
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
    private final RecordSourcePolicy spread = new RecordSourcePolicy(READERS_PER_DOMAIN, FAN_OUT);
    private final Map<InstanceId, Long> suspectedUntilMillis = new HashMap<>();
    private HistoryState published = HistoryState.EMPTY;
    private Currency publishedCurrency = Currency.UNKNOWN;
    private boolean reading;
    private boolean started;
    private int alternatesAsked;

    /** Creates a controller; {@code rounds} gives a new name to each snapshot. */
    public DocumentController(
            DocumentSettings settings,
            Executor control,
            Supplier<List<Member>> members,
            LogService log,
            PeerClient peers,
            Supplier<String> rounds,
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
        this.snapshots = new SnapshotWriter(settings, log, control, clock, rounds, events);
    }

    /** Reads on, unless a read is under way, and writes a snapshot if one is due. */
    public void refresh() {
        publish();
        if (history.currency(clock.monotonicMillis()) == Currency.CURRENT) {
            snapshots.writeIfDue(history.state(), members.get());
        }
        read();
    }

    /** Answers a peer's request for records. */
    public CompletionStage<ControlReply.Builder> onRequest(ControlRequest request) {
        return CompletableFuture.supplyAsync(
                () -> ControlReply.newBuilder()
                        .setRecords(history.answer(request.getRecords(), clock.monotonicMillis())),
                control);
    }

    private void read() {
        if (reading) {
            return;
        }
        RecordSource source = spread.source(settings.self(), settings.failureDomain(), reachable());
        if (source instanceof RecordSource.Peer peer) {
            ask(peer.member());
        } else {
            readLog();
        }
    }

    private void readLog() {
        reading = true;
        long askedAtMillis = clock.monotonicMillis();
        log.read(history.nextOffset(), MAX_RECORDS, WAIT_MILLIS)
                .whenCompleteAsync((page, failure) -> onPage(page, failure, askedAtMillis), control);
    }

    private void onPage(@Nullable LogPage page, @Nullable Throwable failure, long askedAtMillis) {
        reading = false;
        if (page == null) {
            events.emit(new DocumentEvent.RecordsUnavailable("log", causeOf(failure)));
            askAlternate();
            return;
        }
        accept(history.takePage(page, askedAtMillis));
        boolean waited = clock.monotonicMillis() - askedAtMillis >= WAIT_MILLIS / 2;
        if (!page.records().isEmpty() || waited) {
            readLog();
        } else if (!history.isComplete()) {
            askAlternate();
        }
    }

    private void askAlternate() {
        List<Member> fallbackPeers =
                spread.fallbackPeers(settings.self(), settings.failureDomain(), reachable(), MAX_ALTERNATES);
        if (!fallbackPeers.isEmpty()) {
            ask(fallbackPeers.get(alternatesAsked++ % fallbackPeers.size()));
        } else if (isAlone()) {
            history.noteAlone(clock.monotonicMillis());
            publish();
        }
    }

    private void ask(Member peer) {
        reading = true;
        long askedAtMillis = clock.monotonicMillis();
        peers.ask(peer, history.request())
                .whenCompleteAsync((reply, failure) -> onReply(peer, reply, failure, askedAtMillis), control);
    }

    private void onReply(Member peer, @Nullable RecordsReply reply, @Nullable Throwable failure, long askedAtMillis) {
        reading = false;
        if (reply == null) {
            suspectedUntilMillis.put(peer.id(), clock.monotonicMillis() + SUSPECT_MILLIS);
            events.emit(new DocumentEvent.RecordsUnavailable(peer.id().value(), causeOf(failure)));
            return;
        }
        long before = history.state().completeTo();
        accept(history.takeReply(peer.id().value(), reply, askedAtMillis));
        long now = history.state().completeTo();
        if (now > before && now < reply.getNextOffset()) {
            ask(peer);
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

    /** Hands on what changed; nothing before this instance was first in step, so that no old version is served. */
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

    /** Tells whether no other entry instance is known, reachable or not. */
    private boolean isAlone() {
        return spread.fallbackPeers(settings.self(), settings.failureDomain(), members.get(), 1)
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
        return failure == null ? "no answer" : String.valueOf(failure.getMessage());
    }
}
