package org.jasminehub.gateway.quarantine;

import java.util.Set;
import java.util.function.Consumer;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.quarantine.CrashSuspect;
import org.jasminehub.core.quarantine.EndpointCrash;
import org.jasminehub.core.quarantine.RequestQuarantine;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.PeerExchange;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RequestVerdict;

/**
 * Holds back requests that crash endpoints, whatever their prompts, on the evidence of all instances.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class RequestQuarantineController {
    private final RequestQuarantine quarantine;
    private final PeerExchange peers;
    private final EventSink events;
    private final Runnable onChanged;
    private final Runnable onQuarantined;

    /**
     * Creates a controller without quarantined requests.
     *
     * @param onChanged runs after each change, to record it
     * @param onQuarantined runs after each request that is quarantined
     */
    RequestQuarantineController(
            PeerExchange peers, Clock clock, EventSink events, Runnable onChanged, Runnable onQuarantined) {
        this.quarantine = new RequestQuarantine(clock);
        this.peers = peers;
        this.events = events;
        this.onChanged = onChanged;
        this.onQuarantined = onQuarantined;
    }

    /** Returns whether any request is suspected or quarantined; if not, digests need not be computed. */
    public boolean isActive() {
        return quarantine.isActive();
    }

    /** Returns the rest of the quarantine of the request with {@code digest}, 0 if it is not quarantined. */
    public long remainingMillis(String digest) {
        return quarantine.remainingMillis(digest);
    }

    /** Returns whether a call with the request should not be retried because it may crash another endpoint. */
    public boolean isSuspected(String digest) {
        return quarantine.isSuspected(digest);
    }

    /** Records that the request has got a complete response from an endpoint. */
    public void onCompleted(String digest) {
        if (quarantine.onCompleted(digest)) {
            emit(QuarantineEventKind.REQUEST_CLEARED, digest, "it got a complete response here");
            peers.broadcast(PeerEnvelope.newBuilder()
                    .setRequestVerdict(RequestVerdict.newBuilder().setDigest(digest))
                    .build());
            onChanged.run();
        }
    }

    Set<String> quarantined() {
        return quarantine.quarantined();
    }

    /** Counts a crash against all requests that ran at the endpoint. */
    void apply(EndpointCrash crash) {
        EndpointIncarnation endpoint = new EndpointIncarnation(crash.endpoint(), crash.startedWallMillis());
        for (CrashSuspect suspect : crash.suspects()) {
            String digest = suspect.digest();
            long sentAgeMillis = crash.observedAgeMillis() + suspect.sentAgeMillis();
            if (!digest.isBlank() && quarantine.onCrash(digest, endpoint, sentAgeMillis, crash.observedAgeMillis())) {
                onVerdictReached(digest, "after the crash of " + endpoint.id().value());
                peers.broadcast(verdict(digest));
            }
        }
    }

    /** Applies a verdict that another instance reached, or that the store shows. */
    void adopt(String digest, long remainingMillis, String source) {
        if (quarantine.adopt(digest, remainingMillis)) {
            onVerdictReached(digest, source);
        }
    }

    private void onVerdictReached(String digest, String reason) {
        emit(
                QuarantineEventKind.REQUEST_QUARANTINED,
                digest,
                "for " + quarantine.remainingMillis(digest) + " ms, " + reason);
        onChanged.run();
        onQuarantined.run();
    }

    void onPeerVerdict(RequestVerdict verdict) {
        String digest = verdict.getDigest();
        if (digest.isBlank()) {
            return;
        }
        if (verdict.getIsQuarantined()) {
            adopt(digest, verdict.getRemainingMillis(), "by the verdict of a peer");
        } else if (quarantine.onCompleted(digest)) {
            emit(QuarantineEventKind.REQUEST_CLEARED, digest, "it got a complete response at a peer");
            onChanged.run();
        }
    }

    /** Sends all verdicts to a peer that has connected. */
    void sendVerdicts(Consumer<PeerEnvelope> send) {
        quarantine.quarantined().forEach(digest -> send.accept(verdict(digest)));
    }

    private PeerEnvelope verdict(String digest) {
        return PeerEnvelope.newBuilder()
                .setRequestVerdict(RequestVerdict.newBuilder()
                        .setDigest(digest)
                        .setIsQuarantined(true)
                        .setRemainingMillis(quarantine.remainingMillis(digest)))
                .build();
    }

    private void emit(QuarantineEventKind kind, String digest, String detail) {
        events.emit(new QuarantineEvent(kind, digest, detail));
    }
}
