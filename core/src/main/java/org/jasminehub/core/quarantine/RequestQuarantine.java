package org.jasminehub.core.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.jasminehub.core.serving.EndpointIncarnation;
import org.jasminehub.core.time.Clock;

/**
 * Holds back requests that crash the endpoints that run them, identified by a digest of the whole request.
 *
 * <p>Load pattern: callers repeat a request that crashed an endpoint, at any instance, and each repeat crashes another
 * endpoint of the service. Unlike a part of a prompt, the digest occurs in this request only, so three crashes suffice
 * whatever else ran at these endpoints. A complete response without a server error disproves them.
 *
 * <p>Endpoints that fail together, as with their failure domain, may all have been running copies of one frequent request.
 * A crash therefore counts only if the request was sent after the previous crash had been observed.
 *
 * <pre>{@code
 * quarantine.onCrash(digest, endpoint, sentAgeMillis, observedAgeMillis);
 * if (quarantine.remainingMillis(digest) > 0) { ... refuse the call ... }
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class RequestQuarantine {
    /** Length of a first quarantine; each later one is twice as long. */
    public static final long QUARANTINE_MILLIS = 120_000;

    /** Longest quarantine, also for verdicts of other instances. */
    public static final long MAX_QUARANTINE_MILLIS = 3_600_000;

    private static final int MIN_CRASHES = 3;

    /** Crashes after which a request is not retried. */
    private static final int MAX_CRASHES_BEFORE_RETRY = 1;

    /** Covers callers that return minutes later. */
    private static final long CRASH_MEMORY_MILLIS = 600_000;

    /** Bounds the number of requests that are remembered. */
    private static final int MAX_REQUESTS = 1_000;

    /** What is known about one request. */
    private static final class Evidence {
        private final Set<EndpointIncarnation> crashed = new HashSet<>();
        private int crashes;
        private long countedMillis;
        private long updatedMillis;
        private long untilMillis = Long.MIN_VALUE;
        private long termMillis;

        Evidence(long nowMillis) {
            this.updatedMillis = nowMillis;
        }

        long remainingMillis(long nowMillis) {
            return untilMillis <= nowMillis ? 0 : untilMillis - nowMillis;
        }

        boolean isCurrent(long nowMillis) {
            return nowMillis < untilMillis || nowMillis - updatedMillis < CRASH_MEMORY_MILLIS;
        }
    }

    private final Clock clock;
    private final Map<String, Evidence> requests = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Evidence> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /** When complete responses disproved earlier crashes. */
    private final Map<String, Long> clearedMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /** Creates a quarantine without requests. */
    public RequestQuarantine(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that {@code endpoint} crashed while it ran the request. Several instances may report the same crash.
     *
     * @param sentAgeMillis how long ago the request was sent
     * @param observedAgeMillis how long ago the crash was observed
     * @return whether the request is quarantined because of this crash
     */
    public boolean onCrash(String digest, EndpointIncarnation endpoint, long sentAgeMillis, long observedAgeMillis) {
        long nowMillis = clock.monotonicMillis();
        requests.values().removeIf(each -> !each.isCurrent(nowMillis));
        long sentMillis = nowMillis - sentAgeMillis;
        if (sentMillis < clearedMillis.getOrDefault(digest, Long.MIN_VALUE)) {
            return false;
        }
        Evidence evidence = requests.computeIfAbsent(digest, each -> new Evidence(nowMillis));
        boolean isKnown = !evidence.crashed.add(endpoint);
        if (isKnown || (evidence.crashes > 0 && sentMillis < evidence.countedMillis)) {
            return false;
        }
        evidence.countedMillis = nowMillis - observedAgeMillis;
        evidence.updatedMillis = nowMillis;
        evidence.crashes++;
        boolean isGuilty = evidence.crashes >= MIN_CRASHES || evidence.termMillis > 0;
        if (!isGuilty || nowMillis < evidence.untilMillis) {
            return false;
        }
        evidence.termMillis =
                evidence.termMillis == 0 ? QUARANTINE_MILLIS : Math.min(MAX_QUARANTINE_MILLIS, 2 * evidence.termMillis);
        evidence.untilMillis = nowMillis + evidence.termMillis;
        return true;
    }

    /**
     * Records a complete response to the request, here or at another instance.
     *
     * @return whether any crash counted against the request until now, which other instances must learn
     */
    public boolean onCompleted(String digest) {
        if (requests.remove(digest) == null) {
            return false;
        }
        clearedMillis.put(digest, clock.monotonicMillis());
        return true;
    }

    /** Applies the verdict of another instance; returns whether the request is quarantined because of it. */
    public boolean adopt(String digest, long remainingMillis) {
        if (remainingMillis <= 0 || remainingMillis(digest) > 0) {
            return false;
        }
        long nowMillis = clock.monotonicMillis();
        Evidence evidence = requests.computeIfAbsent(digest, each -> new Evidence(nowMillis));
        evidence.untilMillis = nowMillis + Math.min(MAX_QUARANTINE_MILLIS, remainingMillis);
        evidence.termMillis = Math.max(QUARANTINE_MILLIS, evidence.termMillis);
        return true;
    }

    /** Returns whether a call should not be retried because the request may have caused several crashes. */
    public boolean isSuspected(String digest) {
        Evidence evidence = requests.get(digest);
        return evidence != null && evidence.crashes > MAX_CRASHES_BEFORE_RETRY;
    }

    /** Returns the rest of the quarantine of the request, 0 if it is not quarantined. */
    public long remainingMillis(String digest) {
        Evidence evidence = requests.get(digest);
        return evidence == null ? 0 : evidence.remainingMillis(clock.monotonicMillis());
    }

    /** Returns the digests of the quarantined requests. */
    public Set<String> quarantined() {
        long nowMillis = clock.monotonicMillis();
        return requests.entrySet().stream()
                .filter(entry -> entry.getValue().remainingMillis(nowMillis) > 0)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether any request has crashed an endpoint; as long as none has, digests are not needed. */
    public boolean isActive() {
        return !requests.isEmpty();
    }
}
