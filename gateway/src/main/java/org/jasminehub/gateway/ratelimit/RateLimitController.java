package org.jasminehub.gateway.ratelimit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Collection;
import java.util.function.Consumer;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.ratelimit.EndpointRateLimits;
import org.jasminehub.core.ratelimit.RatePermitMessage;
import org.jasminehub.core.ratelimit.RatePermits;
import org.jasminehub.core.ratelimit.StatedRateLimit;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.control.PeerExchange;
import org.jasminehub.gateway.control.PeerExtension;
import org.jasminehub.gateway.control.RateLimitObserver;
import org.jasminehub.wire.generated.EndpointRateLimit;
import org.jasminehub.wire.generated.PeerEnvelope;
import org.jasminehub.wire.generated.RatePermitExchange;

/**
 * Keeps the calls of all instances to an endpoint within the rate limit that the endpoint states in its responses.
 *
 * <p>Limits are sent to all peers at once, so that an instance respects a limit before its own first response states it.
 * Nothing depends on the store.
 *
 * <p>Must be used on the process's event loop only.
 */
public final class RateLimitController implements PeerExtension, RateLimitObserver {
    /** Interval at which permits are issued and returned while any endpoint has a limit. */
    private static final long TICK_MILLIS = 50;

    /** A peer's request may have been sent earlier than the age in its message says, by the time in transit. */
    private static final long TRANSIT_MARGIN_MILLIS = 200;

    private final PeerExchange peers;
    private final DelayedRunner timer;
    private final Clock clock;
    private final EventSink events;
    private final EndpointRateLimits limits;
    private final RatePermits permits;
    private Runnable onPermitsChanged = () -> {};
    private boolean isTicking;
    private boolean isNotificationDue;

    /** Creates a controller for the instance {@code self}, which knows no limits. */
    public RateLimitController(String self, PeerExchange peers, DelayedRunner timer, Clock clock, EventSink events) {
        this.peers = peers;
        this.timer = timer;
        this.clock = clock;
        this.events = events;
        this.limits = new EndpointRateLimits(clock);
        this.permits = new RatePermits(
                clock,
                self,
                limits,
                new PeerIssuerView(peers, clock),
                (instance, message) -> peers.send(instance, RateLimitMessages.encode(self, message)),
                this::notifySoon);
    }

    /** Starts to exchange limits and permits with peers; {@code permitsChanged} runs when queued calls may proceed. */
    public void start(Runnable permitsChanged) {
        onPermitsChanged = permitsChanged;
        peers.addExtension(this);
    }

    /** Returns the permits of this instance. */
    public RatePermits permits() {
        return permits;
    }

    /** Registers the number of endpoints that state a limit, and of the permits that this instance has issued. */
    public void register(MetricRegistry metrics) {
        metrics.register(
                "endpoints.limited", (Gauge<Integer>) () -> limits.limited().size());
        metrics.register("endpoints.permits.issued", (Gauge<Long>) permits::issued);
    }

    @Override
    public void onStated(EndpointIncarnation endpoint, StatedRateLimit limit) {
        if (limits.onStated(endpoint, limit.requestsPerSecond(), 0)) {
            logStated(endpoint, limit.requestsPerSecond(), "stated in a response");
            peers.broadcast(RateLimitMessages.stated(endpoint, limit.requestsPerSecond(), 0));
            startTicking();
        }
    }

    @Override
    public void onNoneStated(EndpointIncarnation endpoint, long sentMillis) {
        long sentAgeMillis = clock.monotonicMillis() - sentMillis;
        if (limits.onNoneStated(endpoint, sentAgeMillis)) {
            logEnded(endpoint, "a response states none");
            peers.broadcast(RateLimitMessages.ended(endpoint, sentAgeMillis));
            notifySoon();
        }
    }

    /** Forgets endpoints that have not been registered for some time. */
    public void onRegistrations(Collection<EndpointRecord> registered) {
        limits.onRegistrations(registered);
    }

    private void startTicking() {
        if (!isTicking) {
            isTicking = true;
            timer.runAfter(TICK_MILLIS, this::tick);
        }
    }

    private void tick() {
        permits.onTick();
        isTicking = limits.isActive();
        if (isTicking) {
            timer.runAfter(TICK_MILLIS, this::tick);
        }
        onPermitsChanged.run();
    }

    /** Notifies the dispatcher after the current step, since a reply may arrive while it is choosing an endpoint. */
    private void notifySoon() {
        if (!isNotificationDue) {
            isNotificationDue = true;
            timer.runAfter(0, () -> {
                isNotificationDue = false;
                onPermitsChanged.run();
            });
        }
    }

    @Override
    public void onPeerConnected(Consumer<PeerEnvelope> send) {
        for (EndpointIncarnation endpoint : limits.limited()) {
            limits.requestsPerSecond(endpoint)
                    .ifPresent(limit ->
                            send.accept(RateLimitMessages.stated(endpoint, limit, limits.ageMillis(endpoint))));
        }
        // The peer may have missed the end of a limit while it was not connected.
        for (EndpointIncarnation endpoint : limits.ended()) {
            send.accept(RateLimitMessages.ended(endpoint, limits.endedAgeMillis(endpoint)));
        }
    }

    @Override
    public void onPeerMessage(PeerEnvelope message) {
        if (message.hasEndpointRateLimit()) {
            onPeerLimit(message.getEndpointRateLimit());
        } else if (message.hasRatePermitExchange()) {
            onPermitMessage(message.getRatePermitExchange());
        }
    }

    private void onPeerLimit(EndpointRateLimit limit) {
        boolean isValidLimit = !limit.getIsLimited() || isValid(limit.getRequestsPerSecond());
        if (limit.getEndpoint().isBlank() || limit.getEvidenceAgeMillis() < 0 || !isValidLimit) {
            reject(limit.getEndpoint(), "a peer announces a limit of " + limit.getRequestsPerSecond());
            return;
        }
        EndpointIncarnation endpoint = RateLimitMessages.incarnation(limit.getEndpoint(), limit.getStartedWallMillis());
        if (!limit.getIsLimited()) {
            if (limits.onNoneStated(endpoint, limit.getEvidenceAgeMillis() + TRANSIT_MARGIN_MILLIS)) {
                logEnded(endpoint, "a response to a peer states none");
                notifySoon();
            }
        } else if (limits.onStated(endpoint, limit.getRequestsPerSecond(), limit.getEvidenceAgeMillis())) {
            logStated(endpoint, limit.getRequestsPerSecond(), "stated to a peer");
            startTicking();
        }
    }

    private void onPermitMessage(RatePermitExchange encoded) {
        boolean isValid = !encoded.getEndpoint().isBlank()
                && isValid(encoded.getRequestsPerSecond())
                && encoded.getStatedAgeMillis() >= 0
                && encoded.getWaitMillis() >= 0;
        RatePermitMessage message = isValid ? RateLimitMessages.decode(encoded) : null;
        if (message == null) {
            reject(encoded.getEndpoint(), "a peer sent a permit message of kind " + encoded.getKindValue());
            return;
        }
        permits.onMessage(encoded.getInstance(), message);
        if (limits.isActive()) {
            startTicking();
        }
    }

    private static boolean isValid(double requestsPerSecond) {
        return requestsPerSecond >= 0 && requestsPerSecond <= StatedRateLimit.MAX_REQUESTS_PER_SECOND;
    }

    private void reject(String endpoint, String reason) {
        events.emit(new ControlEvent(ControlEventKind.RECORD_REJECTED, endpoint, reason, 0));
    }

    private void logStated(EndpointIncarnation endpoint, double requestsPerSecond, String source) {
        events.emit(new ControlEvent(
                ControlEventKind.ENDPOINT_LIMITED,
                endpoint.id().value(),
                requestsPerSecond + " requests a second from all instances, " + source,
                0));
    }

    private void logEnded(EndpointIncarnation endpoint, String source) {
        events.emit(new ControlEvent(
                ControlEventKind.ENDPOINT_LIMITED, endpoint.id().value(), "no limit any more, " + source, 0));
    }
}
