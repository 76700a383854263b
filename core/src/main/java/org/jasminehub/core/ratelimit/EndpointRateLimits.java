package org.jasminehub.core.ratelimit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.serving.EndpointRecord;
import org.jasminehub.core.time.Clock;

/**
 * The rate limits that endpoints state in their responses, as observed by this instance and its peers.
 *
 * <p>An endpoint states its limit in every response as long as it applies. Responses overtake each other, so a response
 * without a limit ends it only if its request was sent after the last response that stated one.
 *
 * <p>A limit belongs to one run of an endpoint. Not thread-safe.
 */
public final class EndpointRateLimits {
    /** A registration that expired may reappear after an outage of the store. */
    static final long KEPT_AFTER_REMOVAL_MILLIS = 60_000;

    private record Limit(double requestsPerSecond, long statedMillis) {}

    private final Clock clock;
    private final Map<EndpointIncarnation, Limit> limits = new HashMap<>();

    /** When the requests were sent whose responses ended a limit. */
    private final Map<EndpointIncarnation, Long> endedMillis = new HashMap<>();

    /** Creates limits of which none is known. */
    public EndpointRateLimits(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that {@code endpoint} stated a limit {@code ageMillis} ago.
     *
     * @return whether the limit that applies has changed
     */
    public boolean onStated(EndpointIncarnation endpoint, double requestsPerSecond, long ageMillis) {
        long statedMillis = clock.monotonicMillis() - ageMillis;
        Limit known = limits.get(endpoint);
        if (statedMillis < endedMillis.getOrDefault(endpoint, Long.MIN_VALUE)
                || (known != null && statedMillis < known.statedMillis())) {
            return false;
        }
        limits.put(endpoint, new Limit(requestsPerSecond, statedMillis));
        endedMillis.remove(endpoint);
        return known == null || known.requestsPerSecond() != requestsPerSecond;
    }

    /**
     * Records a response of {@code endpoint} without a limit, to a request that was sent {@code sentAgeMillis} ago.
     *
     * @return whether this ends a limit
     */
    public boolean onNoneStated(EndpointIncarnation endpoint, long sentAgeMillis) {
        Limit known = limits.get(endpoint);
        long sentMillis = clock.monotonicMillis() - sentAgeMillis;
        if (known == null || sentMillis <= known.statedMillis()) {
            return false;
        }
        limits.remove(endpoint);
        endedMillis.put(endpoint, sentMillis);
        return true;
    }

    /** Returns the limit of {@code endpoint} in requests per second, or empty if it has none. */
    public OptionalDouble requestsPerSecond(EndpointIncarnation endpoint) {
        Limit known = limits.get(endpoint);
        return known == null ? OptionalDouble.empty() : OptionalDouble.of(known.requestsPerSecond());
    }

    /** Returns the time since {@code endpoint} last stated its limit, 0 if it has none. */
    public long ageMillis(EndpointIncarnation endpoint) {
        Limit known = limits.get(endpoint);
        return known == null ? 0 : clock.monotonicMillis() - known.statedMillis();
    }

    /** Returns the endpoints with a limit. */
    public Set<EndpointIncarnation> limited() {
        return Set.copyOf(limits.keySet());
    }

    /** Returns the endpoints whose limit has ended recently. */
    public Set<EndpointIncarnation> ended() {
        return Set.copyOf(endedMillis.keySet());
    }

    /** Returns the time since the request was sent whose response ended the limit of {@code endpoint}, 0 if none did. */
    public long endedAgeMillis(EndpointIncarnation endpoint) {
        Long sentMillis = endedMillis.get(endpoint);
        return sentMillis == null ? 0 : clock.monotonicMillis() - sentMillis;
    }

    /** Returns whether any endpoint has a limit. */
    public boolean isActive() {
        return !limits.isEmpty();
    }

    /** Forgets endpoints that are not registered and that stated nothing for some time. */
    public void onRegistrations(Collection<EndpointRecord> registered) {
        if (limits.isEmpty() && endedMillis.isEmpty()) {
            return;
        }
        long oldestMillis = clock.monotonicMillis() - KEPT_AFTER_REMOVAL_MILLIS;
        Set<EndpointIncarnation> present =
                registered.stream().map(EndpointRecord::incarnation).collect(Collectors.toSet());
        limits.entrySet()
                .removeIf(limit ->
                        !present.contains(limit.getKey()) && limit.getValue().statedMillis() < oldestMillis);
        endedMillis.values().removeIf(ended -> ended < oldestMillis);
    }
}
