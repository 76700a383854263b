package org.jasminehub.gateway.quarantine;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
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
import org.jasminehub.wire.generated.EndpointCrashReport;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.PromptPartVerdict;

/**
 * Holds back calls whose prompts crash endpoints, on the evidence of all instances.
 *
 * <p>Each instance sees only some of the crashes, so crashes and verdicts are sent to all peers at once. Verdicts are
 * also kept in the store.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class QuarantineController implements PeerExtension {
    /** Crash reports sent again to a peer that connects, as it may have missed them. */
    private static final int MAX_RECENT_REPORTS = 16;

    private final PromptQuarantine quarantine;
    private final CrashInspector inspector;
    private final QuarantineRecords records;
    private final InstanceDirectory directory;
    private final PeerExchange peers;
    private final Clock clock;
    private final EventSink events;
    private final Deque<EndpointCrashReport> recentReports = new ArrayDeque<>();
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
        this.records = new QuarantineRecords(store, directory, quarantine, timer, random, clock, events);
        this.directory = directory;
        this.peers = peers;
        this.clock = clock;
        this.events = events;
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
        directory.quarantinedParts().forEach((parts, untilWallMillis) -> {
            long remainingMillis = untilWallMillis - clock.wallMillis();
            long ageMillis = Math.max(0, PromptQuarantine.QUARANTINE_MILLIS - remainingMillis);
            adopt(PartCombination.parse(parts), remainingMillis, ageMillis, "recorded in the store");
        });
    }

    private void onOwnCrash(EndpointCrash crash) {
        EndpointCrashReport report = CrashReportConverter.encode(crash);
        recentReports.addLast(report);
        if (recentReports.size() > MAX_RECENT_REPORTS) {
            recentReports.removeFirst();
        }
        peers.broadcast(PeerEnvelope.newBuilder().setEndpointCrashReport(report).build());
        emit(QuarantineEventKind.ENDPOINT_CRASHED, crash.endpoint().value(), "suspects " + crash.suspects());
        apply(crash);
    }

    private void apply(EndpointCrash crash) {
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
        recentReports.forEach(report -> send.accept(
                PeerEnvelope.newBuilder().setEndpointCrashReport(report).build()));
        quarantine.quarantined().forEach(combination -> send.accept(verdict(combination)));
    }

    @Override
    public void onPeerMessage(PeerEnvelope message) {
        if (message.hasEndpointCrashReport()) {
            CrashReportConverter.decode(message.getEndpointCrashReport()).ifPresent(this::apply);
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
