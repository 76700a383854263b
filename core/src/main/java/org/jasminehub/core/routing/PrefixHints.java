package org.jasminehub.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * Remembers which beginnings of prompts each endpoint probably has in its prefix cache.
 *
 * <p>A hint fades with its age, since evictions come late or not at all. What the engine says of an answer's real hits
 * corrects how far its hints are trusted, and a gap in its events halves that trust.
 *
 * <pre>{@code
 * hints.recordPrompt(endpoint, prefix);
 * long tokens = hints.expectedTokens(endpoint, prefix);
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class PrefixHints {
    private static final double TRUST_GAIN = 0.2;
    private static final double MIN_TRUST = 0.05;

    private final Clock clock;
    private final double halfLifeMillis;
    private final int maxHintsPerEndpoint;
    private final Map<EndpointId, Cache> caches = new HashMap<>();

    /**
     * Creates a table without hints.
     *
     * @param clock tells the hints' age
     * @param halfLifeMillis after what age a hint counts half
     * @param maxHintsPerEndpoint how many beginnings are kept for an endpoint; the least used go first
     */
    public PrefixHints(Clock clock, double halfLifeMillis, int maxHintsPerEndpoint) {
        this.clock = clock;
        this.halfLifeMillis = Checks.inRange("halfLifeMillis", halfLifeMillis, 1, Double.MAX_VALUE);
        this.maxHintsPerEndpoint = (int) Checks.positive("maxHintsPerEndpoint", maxHintsPerEndpoint);
    }

    /** Notes that the endpoint was sent a prompt with this beginning. */
    public synchronized void recordPrompt(EndpointId endpoint, PromptPrefix prefix) {
        for (PromptPrefix.Block block : prefix.blocks()) {
            cache(endpoint).hints.put(block.hash(), clock.monotonicMillis());
        }
    }

    /** Takes a cache event about the beginning with this hash; one older than the hint is ignored. */
    public synchronized void recordEvent(PrefixEvent event) {
        Cache cache = cache(event.endpoint());
        cache.noteSequence(event.sequence());
        long occurredMillis = clock.monotonicMillis() - event.ageMillis();
        Long knownMillis = cache.hints.get(event.hash());
        if (knownMillis != null && knownMillis > occurredMillis) {
            return;
        }
        if (event.cached()) {
            cache.hints.put(event.hash(), occurredMillis);
        } else {
            cache.hints.remove(event.hash());
        }
    }

    /** Takes from the engine's report of an answer how many tokens were really found in its cache. */
    public synchronized void recordHit(EndpointId endpoint, PromptPrefix prefix, long expectedTokens, long hitTokens) {
        Cache cache = cache(endpoint);
        if (expectedTokens > 0) {
            double ratio = Math.min(1, (double) hitTokens / expectedTokens);
            cache.trust = Math.max(MIN_TRUST, cache.trust + TRUST_GAIN * (ratio - cache.trust));
        }
        for (PromptPrefix.Block block : prefix.blocks()) {
            cache.hints.put(block.hash(), clock.monotonicMillis());
        }
    }

    /** Drops the hints of an endpoint that has left or restarted. */
    public synchronized void forget(EndpointId endpoint) {
        caches.remove(endpoint);
    }

    /** Returns how many tokens of the prompt the endpoint probably has in its cache. */
    public synchronized long expectedTokens(EndpointId endpoint, PromptPrefix prefix) {
        Cache cache = caches.get(endpoint);
        if (cache == null) {
            return 0;
        }
        double best = 0;
        for (PromptPrefix.Block block : prefix.blocks()) {
            best = Math.max(best, block.tokens() * cache.likelihood(block.hash()));
        }
        return (long) best;
    }

    private Cache cache(EndpointId endpoint) {
        return caches.computeIfAbsent(endpoint, key -> new Cache());
    }

    private final class Cache {
        private static final int INITIAL_ENTRIES = 64;
        private static final float LOAD_FACTOR = 0.75f;
        private static final boolean BY_ACCESS = true;

        private final Map<Long, Long> hints = new LinkedHashMap<>(INITIAL_ENTRIES, LOAD_FACTOR, BY_ACCESS) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > maxHintsPerEndpoint;
            }
        };
        private double trust = 1;
        private long nextSequence = -1;

        private void noteSequence(long sequence) {
            boolean isGap = nextSequence >= 0 && sequence > nextSequence;
            if (isGap) {
                trust = Math.max(MIN_TRUST, trust / 2);
            }
            nextSequence = Math.max(nextSequence, sequence + 1);
        }

        private double likelihood(long hash) {
            Long seenMillis = hints.get(hash);
            if (seenMillis == null) {
                return 0;
            }
            return trust * Math.pow(2, -(clock.monotonicMillis() - seenMillis) / halfLifeMillis);
        }
    }
}
