package org.jasminehub.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jasminehub.core.identity.EndpointId;
import org.jasminehub.core.internal.Checks;
import org.jasminehub.core.time.Clock;

/**
 * Tracks which prompt prefixes each endpoint probably holds in its prefix cache.
 *
 * <p>The weight of a hint decays with age, since eviction events arrive late or not at all. The cache hits that an
 * engine reports for its answers adjust the trust in the hints of its endpoint. A gap in its events halves that trust.
 *
 * <pre>{@code
 * hints.recordPrompt(endpoint, prefix);
 * long tokens = hints.expectedTokens(endpoint, prefix);
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class PrefixHints {
    private static final double TRUST_SMOOTHING = 0.2;
    private static final double MIN_TRUST = 0.05;

    private final Clock clock;
    private final double halfLifeMillis;
    private final int maxHintsPerEndpoint;
    private final Map<EndpointId, EndpointHints> hintsByEndpoint = new HashMap<>();

    /**
     * Creates a table without hints.
     *
     * @param clock the clock for the age of hints
     * @param halfLifeMillis the age at which a hint has half its weight
     * @param maxHintsPerEndpoint the number of prefixes kept per endpoint; the least recently used are removed first
     */
    public PrefixHints(Clock clock, double halfLifeMillis, int maxHintsPerEndpoint) {
        this.clock = clock;
        this.halfLifeMillis = Checks.inRange("halfLifeMillis", halfLifeMillis, 1, Double.MAX_VALUE);
        this.maxHintsPerEndpoint = (int) Checks.positive("maxHintsPerEndpoint", maxHintsPerEndpoint);
    }

    /** Records that a prompt with this prefix was sent to the endpoint. */
    public synchronized void recordPrompt(EndpointId endpoint, PromptPrefix prefix) {
        for (PromptPrefix.Block block : prefix.blocks()) {
            hintsOf(endpoint).hints.put(block.hash(), clock.monotonicMillis());
        }
    }

    /** Applies a cache event to the hint for its prefix; an event older than the hint is ignored. */
    public synchronized void recordEvent(PrefixEvent event) {
        EndpointHints known = hintsOf(event.endpoint());
        known.recordSequence(event.sequence());
        long eventMillis = clock.monotonicMillis() - event.ageMillis();
        Long hintMillis = known.hints.get(event.hash());
        if (hintMillis != null && hintMillis > eventMillis) {
            return;
        }
        if (event.cached()) {
            known.hints.put(event.hash(), eventMillis);
        } else {
            known.hints.remove(event.hash());
        }
    }

    /** Records how many tokens the engine actually found in its cache, as reported with an answer. */
    public synchronized void recordHit(EndpointId endpoint, PromptPrefix prefix, long expectedTokens, long hitTokens) {
        EndpointHints known = hintsOf(endpoint);
        if (expectedTokens > 0) {
            double ratio = Math.min(1, (double) hitTokens / expectedTokens);
            known.trust = Math.max(MIN_TRUST, known.trust + TRUST_SMOOTHING * (ratio - known.trust));
        }
        for (PromptPrefix.Block block : prefix.blocks()) {
            known.hints.put(block.hash(), clock.monotonicMillis());
        }
    }

    /** Removes the hints of an endpoint that was removed or restarted. */
    public synchronized void forget(EndpointId endpoint) {
        hintsByEndpoint.remove(endpoint);
    }

    /** Returns the expected number of prompt tokens in the cache of the endpoint. */
    public synchronized long expectedTokens(EndpointId endpoint, PromptPrefix prefix) {
        EndpointHints known = hintsByEndpoint.get(endpoint);
        if (known == null) {
            return 0;
        }
        double best = 0;
        for (PromptPrefix.Block block : prefix.blocks()) {
            best = Math.max(best, block.tokens() * known.likelihood(block.hash()));
        }
        return (long) best;
    }

    private EndpointHints hintsOf(EndpointId endpoint) {
        return hintsByEndpoint.computeIfAbsent(endpoint, key -> new EndpointHints());
    }

    private final class EndpointHints {
        private static final int INITIAL_ENTRIES = 64;
        private static final float LOAD_FACTOR = 0.75f;
        private static final boolean ACCESS_ORDER = true;

        private final Map<Long, Long> hints = new LinkedHashMap<>(INITIAL_ENTRIES, LOAD_FACTOR, ACCESS_ORDER) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > maxHintsPerEndpoint;
            }
        };
        private double trust = 1;
        private long nextSequence = -1;

        private void recordSequence(long sequence) {
            boolean isGap = nextSequence >= 0 && sequence > nextSequence;
            if (isGap) {
                trust = Math.max(MIN_TRUST, trust / 2);
            }
            nextSequence = Math.max(nextSequence, sequence + 1);
        }

        private double likelihood(long hash) {
            Long hintMillis = hints.get(hash);
            if (hintMillis == null) {
                return 0;
            }
            return trust * Math.pow(2, -(clock.monotonicMillis() - hintMillis) / halfLifeMillis);
        }
    }
}
