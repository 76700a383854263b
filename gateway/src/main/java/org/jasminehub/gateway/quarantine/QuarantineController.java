package org.jasminehub.gateway.quarantine;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.quarantine.CrashSuspect;
import org.jasminehub.core.quarantine.EndpointCrash;
import org.jasminehub.core.quarantine.PartCombination;
import org.jasminehub.core.quarantine.PromptQuarantine;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.control.InstanceDirectory;
import org.jasminehub.gateway.control.PeerExchange;
import org.jasminehub.gateway.control.PeerExtension;
import org.jasminehub.gateway.net.EndpointClient;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.PromptPartVerdict;

/**
 * Holds back calls that crash endpoints, on the evidence of all instances: by parts of their prompts, and by the digests of
 * whole requests.
 *
 * <p>Each instance sees only some of the crashes, so crashes and verdicts are sent to all peers at once. Verdicts are
 * also kept in the store.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class QuarantineController implements PeerExtension {
    /** Crash reports sent again to a peer that connects, as it may have missed them. */
    private static final int MAX_RECENT_CRASHES = 16;

    /** Begins the texts under which the store keeps quarantined requests; parts of prompts contain no colons. */
    private static final String REQUEST_PREFIX = "request:";

    private static final String RECORDED = "recorded in the store";

    private record ObservedCrash(EndpointCrash crash, long observedMillis) {}

    private final PromptQuarantine quarantine;
    private final CrashInspector inspector;
    private final QuarantineRecords records;
    private final InstanceDirectory directory;
    private final PeerExchange peers;
    private final Clock clock;
    private final EventSink events;
    private final RequestQuarantineController requests;
    private final Deque<ObservedCrash> recentCrashes = new ArrayDeque<>();
    private Runnable onQuarantined = () -> {};

    /** Creates a controller without quarantined parts. */
    public QuarantineController(
            EndpointClient client,
            StoreClient store,
            InstanceDirectory directory,
            PeerExchange peers,
            DelayedRunner timer,
            RandomGenerator random,
            Clock clock,
            EventSink events) {
        this.quarantine = new PromptQuarantine(clock);
        this.inspector = new CrashInspector(client, this::onOwnCrash);
        this.records = new QuarantineRecords(store, directory, newTerms(), timer, random, clock, events);
        this.requests = new RequestQuarantineController(
                peers, clock, events, () -> this.records.update(), () -> this.onQuarantined.run());
        this.directory = directory;
        this.peers = peers;
        this.clock = clock;
        this.events = events;
    }

    private QuarantineTerms newTerms() {
        return new QuarantineTerms() {
            @Override
            public Set<String> quarantined() {
                Set<String> texts = new HashSet<>();
                quarantine.quarantined().forEach(parts -> texts.add(parts.toString()));
                requests.quarantined().forEach(digest -> texts.add(REQUEST_PREFIX + digest));
                return texts;
            }

            @Override
            public long remainingMillis(String text) {
                return text.startsWith(REQUEST_PREFIX)
                        ? requests.remainingMillis(text.substring(REQUEST_PREFIX.length()))
                        : quarantine.remainingMillis(PartCombination.parse(text));
            }
        };
    }

    /** Registers the numbers of quarantined combinations of parts and of quarantined requests. */
    public void register(MetricRegistry metrics) {
        metrics.register("prompts.quarantined", (Gauge<Integer>)
                () -> quarantine.quarantined().size());
        metrics.register("requests.quarantined", (Gauge<Integer>)
                () -> requests.quarantined().size());
    }

    /** Returns the quarantine of whole requests. */
    public RequestQuarantineController requests() {
        return requests;
    }

    /** Starts to exchange reports with peers; {@code quarantined} runs after each part that is quarantined. */
    public void start(Runnable quarantined) {
        onQuarantined = quarantined;
        peers.addExtension(this);
    }

    /** Returns a quarantined combination whose parts are all among {@code parts}. */
    public Optional<PartCombination> findQuarantined(Collection<String> parts) {
        return quarantine.findQuarantined(parts);
    }

    /** Returns the rest of the quarantine of {@code combination}. */
    public long remainingMillis(PartCombination combination) {
        return quarantine.remainingMillis(combination);
    }

    /** Returns whether a call with {@code parts} should not be retried because it may crash another endpoint. */
    public boolean isSuspected(Collection<String> parts) {
        return quarantine.isSuspected(parts);
    }

    /** Checks an endpoint that cut a call before its first output; runs {@code continuation} after the check. */
    public void inspect(EndpointRecord endpoint, CrashSuspect suspect, Runnable continuation) {
        inspector.inspect(endpoint, suspect, continuation);
    }

    /** Records that a call with {@code parts} has produced output. */
    public void onOutput(Collection<String> parts) {
        Set<String> cleared = quarantine.onOutput(parts);
        if (!cleared.isEmpty()) {
            announceCleared(cleared);
        }
    }

    private void announceCleared(Set<String> parts) {
        for (String part : parts) {
            emit(QuarantineEventKind.PART_CLEARED, part, "a call with it produced output here");
            peers.broadcast(PeerEnvelope.newBuilder()
                    .setPromptPartVerdict(PromptPartVerdict.newBuilder().setParts(part))
                    .build());
        }
        records.update();
    }

    /** Applies the quarantined parts that the store shows. */
    public void onDirectoryChanged() {
        directory.quarantines().forEach((text, untilWallMillis) -> {
            long remainingMillis = untilWallMillis - clock.wallMillis();
            if (text.startsWith(REQUEST_PREFIX)) {
                requests.adopt(text.substring(REQUEST_PREFIX.length()), remainingMillis, RECORDED);
                return;
            }
            long ageMillis = Math.max(0, PromptQuarantine.QUARANTINE_MILLIS - remainingMillis);
            adopt(PartCombination.parse(text), remainingMillis, ageMillis, RECORDED);
        });
    }

    private void onOwnCrash(EndpointCrash crash) {
        recentCrashes.addLast(new ObservedCrash(crash, clock.monotonicMillis()));
        if (recentCrashes.size() > MAX_RECENT_CRASHES) {
            recentCrashes.removeFirst();
        }
        peers.broadcast(report(crash, 0));
        emit(QuarantineEventKind.ENDPOINT_CRASHED, crash.endpoint().value(), "suspects " + crash.suspects());
        apply(crash);
    }

    private static PeerEnvelope report(EndpointCrash crash, long ageMillis) {
        return PeerEnvelope.newBuilder()
                .setEndpointCrashReport(CrashReportConverter.encode(crash, ageMillis))
                .build();
    }

    private void apply(EndpointCrash crash) {
        requests.apply(crash);
        Set<PartCombination> blamed = quarantine.onCrash(crash);
        for (PartCombination combination : blamed) {
            emit(
                    QuarantineEventKind.PART_QUARANTINED,
                    combination.toString(),
                    "for " + quarantine.remainingMillis(combination) + " ms after the crash of "
                            + crash.endpoint().value());
            peers.broadcast(verdict(combination));
        }
        if (!blamed.isEmpty()) {
            records.update();
            onQuarantined.run();
        }
    }

    private void adopt(PartCombination combination, long remainingMillis, long evidenceAgeMillis, String source) {
        PromptQuarantine.Adoption adoption = quarantine.adopt(combination, remainingMillis, evidenceAgeMillis);
        PartCombination adopted = adoption.adopted();
        if (adopted != null) {
            emit(
                    QuarantineEventKind.PART_QUARANTINED,
                    adopted.toString(),
                    "for " + quarantine.remainingMillis(adopted) + " ms, " + source);
            onQuarantined.run();
        }
        if (!adoption.disproved().isEmpty()) {
            announceCleared(adoption.disproved());
        } else if (adopted != null) {
            records.update();
        }
    }

    private PeerEnvelope verdict(PartCombination combination) {
        return PeerEnvelope.newBuilder()
                .setPromptPartVerdict(PromptPartVerdict.newBuilder()
                        .setParts(combination.toString())
                        .setIsQuarantined(true)
                        .setRemainingMillis(quarantine.remainingMillis(combination))
                        .setEvidenceAgeMillis(quarantine.evidenceAgeMillis(combination)))
                .build();
    }

    @Override
    public void onPeerConnected(Consumer<PeerEnvelope> send) {
        recentCrashes.forEach(
                each -> send.accept(report(each.crash(), clock.monotonicMillis() - each.observedMillis())));
        requests.sendVerdicts(send);
        quarantine.quarantined().forEach(combination -> send.accept(verdict(combination)));
    }

    @Override
    public void onPeerMessage(PeerEnvelope message) {
        if (message.hasEndpointCrashReport()) {
            CrashReportConverter.decode(message.getEndpointCrashReport()).ifPresent(this::apply);
        } else if (message.hasRequestVerdict()) {
            requests.onPeerVerdict(message.getRequestVerdict());
        } else if (message.hasPromptPartVerdict()
                && !message.getPromptPartVerdict().getParts().isBlank()) {
            onVerdict(message.getPromptPartVerdict());
        }
    }

    private void onVerdict(PromptPartVerdict verdict) {
        PartCombination combination = PartCombination.parse(verdict.getParts());
        if (verdict.getIsQuarantined()) {
            adopt(
                    combination,
                    verdict.getRemainingMillis(),
                    verdict.getEvidenceAgeMillis(),
                    "by the verdict of a peer");
            return;
        }
        for (String part : combination.parts()) {
            if (quarantine.clear(part)) {
                emit(QuarantineEventKind.PART_CLEARED, part, "a call with it produced output at a peer");
                records.update();
            }
        }
    }

    private void emit(QuarantineEventKind kind, String subject, String detail) {
        events.emit(new QuarantineEvent(kind, subject, detail));
    }
}
