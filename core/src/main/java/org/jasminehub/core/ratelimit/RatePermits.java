package org.jasminehub.core.ratelimit;

import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;

/**
 * Keeps the requests of all instances together within the rate limits that endpoints state.
 *
 * <p>For each endpoint with a limit, one instance issues permits at the rate of the limit; every request that is sent to
 * the endpoint uses one up. An unused permit is returned.
 *
 * <pre>{@code
 * if (!permits.maySend(endpoint)) {
 *     permits.request(endpoint);   // onPermit runs when the permit arrives
 * } else {
 *     permits.onSent(endpoint);
 *     ... send the request ...
 * }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class RatePermits {
    /** A caller that returns earlier is likely to be refused again. */
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    /** Limits change within seconds, so a longer expected wait says little. */
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    /** Range of return times relative to the expected wait, so that callers do not return together. */
    private static final double RETRY_SPREAD = 0.5;

    private final String self;
    private final EndpointRateLimits limits;
    private final IssuerView view;
    private final PermitSender sender;
    private final Runnable onReply;
    private final PermitIssuer issuer;
    private final PermitHolder holder;

    /**
     * Creates permits of which this instance holds none.
     *
     * @param self the name of this instance
     * @param sender sends messages to other instances
     * @param onReply runs after each reply to a request of this instance
     */
    public RatePermits(
            Clock clock,
            String self,
            EndpointRateLimits limits,
            IssuerView view,
            PermitSender sender,
            Runnable onReply) {
        this.self = self;
        this.limits = limits;
        this.view = view;
        this.sender = sender;
        this.onReply = onReply;
        this.issuer = new PermitIssuer(clock, self, limits, view, this::deliver);
        this.holder = new PermitHolder(clock);
    }

    /** Returns whether {@code endpoint} states a limit. */
    public boolean isLimited(EndpointRecord endpoint) {
        return limits.requestsPerSecond(endpoint.incarnation()).isPresent();
    }

    /** Returns whether a request may be sent to {@code endpoint} now. */
    public boolean maySend(EndpointRecord endpoint) {
        return !isLimited(endpoint) || holder.hasPermit(endpoint.incarnation());
    }

    /** Returns whether a permit for {@code endpoint} is missing and has not been requested yet. */
    public boolean mayRequest(EndpointRecord endpoint) {
        return isLimited(endpoint) && holder.mayRequest(endpoint.incarnation());
    }

    /** Requests a permit for {@code endpoint}; it may be there when this method returns. */
    public void request(EndpointRecord endpoint) {
        EndpointIncarnation incarnation = endpoint.incarnation();
        holder.onRequested(incarnation);
        view.issuer(incarnation)
                .ifPresent(instance -> deliver(
                        instance,
                        new RatePermitMessage.Request(
                                incarnation,
                                limits.requestsPerSecond(incarnation).orElse(0),
                                limits.ageMillis(incarnation))));
    }

    /** Records that this instance sends a request to {@code endpoint}, which uses up a permit. */
    public void onSent(EndpointRecord endpoint) {
        holder.use(endpoint.incarnation());
    }

    /** Processes a message from {@code instance}, which may be this one. */
    public void onMessage(String instance, RatePermitMessage message) {
        EndpointIncarnation endpoint = message.endpoint();
        if (message instanceof RatePermitMessage.Request request) {
            limits.onStated(endpoint, request.requestsPerSecond(), request.statedAgeMillis());
            issuer.onRequest(instance, endpoint);
        } else if (message instanceof RatePermitMessage.Return) {
            issuer.onReturn(instance, endpoint);
        } else if (message instanceof RatePermitMessage.Permit) {
            holder.onPermit(endpoint);
            onReply.run();
        } else if (message instanceof RatePermitMessage.Queued queued) {
            holder.onQueued(endpoint, queued.waitMillis());
            onReply.run();
        }
    }

    /** Issues the permits that have become available and returns those that were not used; called several times a second. */
    public void onTick() {
        holder.expire(
                endpoint -> limits.requestsPerSecond(endpoint).isPresent(),
                endpoint -> view.issuer(endpoint)
                        .ifPresent(instance -> deliver(instance, new RatePermitMessage.Return(endpoint))));
        issuer.onTick();
    }

    /**
     * Returns when a call can expect a permit if all of {@code endpoints} state a limit, 0 if that is not known yet, and
     * empty if any of them states none.
     *
     * @param ahead the number of calls that use permits before it
     */
    public OptionalLong expectedWaitMillis(Collection<EndpointRecord> endpoints, int ahead) {
        if (!limits.isActive() || endpoints.isEmpty() || !endpoints.stream().allMatch(this::isLimited)) {
            return OptionalLong.empty();
        }
        List<EndpointIncarnation> incarnations =
                endpoints.stream().map(EndpointRecord::incarnation).toList();
        return OptionalLong.of(holder.expectedWaitMillis(incarnations, ahead));
    }

    /**
     * Returns the time after which a caller should retry whose call cannot get a permit in time.
     *
     * @param expectedWaitMillis the expected wait for a permit
     * @param position the position of this caller within the range of return times, from 0 to 1, both inclusive
     */
    public static long retryAfterMillis(long expectedWaitMillis, double position) {
        Checks.inRange("position", position, 0, 1);
        long boundedMillis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, expectedWaitMillis));
        return Math.round(boundedMillis * (1 + RETRY_SPREAD * position));
    }

    /** Returns the number of permits that this instance has issued to others and to itself. */
    public long issued() {
        return issuer.issued();
    }

    private void deliver(String instance, RatePermitMessage message) {
        if (instance.equals(self)) {
            onMessage(self, message);
        } else {
            sender.send(instance, message);
        }
    }
}
