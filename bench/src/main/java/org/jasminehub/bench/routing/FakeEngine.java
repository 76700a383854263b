package org.jasminehub.bench.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.jasminehub.core.routing.PromptPrefix;

/** A fake engine with continuous batching, chunked prefill and a bounded prefix cache. */
final class FakeEngine {
    static final int CAPACITY_REQUESTS = 32;
    static final double BASE_STEP_MILLIS = 16;
    static final double STEP_MILLIS_PER_REQUEST = 0.2;
    static final double PREFILL_MILLIS_PER_TOKEN = 0.02;

    private static final long MAX_PREFILL_TOKENS_PER_STEP = 320;
    private static final long CACHE_CAPACITY_TOKENS = 40_000;
    private static final double STEP_SMOOTHING_FACTOR = 0.1;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int MICROS_PER_MILLI = 1000;

    private final EventScheduler scheduler;
    private final Histogram gapMicros;
    private final Consumer<Call> onFinished;
    private final List<Sequence> sequences = new ArrayList<>();
    private final Map<Long, Long> cache = new LinkedHashMap<>();
    private boolean stepping;
    private double slowFactor = 1;
    private double stepMillis = BASE_STEP_MILLIS;
    private long cachedTokens;

    private static final class Sequence {
        private final Call call;
        private long promptTokensLeft;
        private long answerTokensLeft;
        private double lastTokenMillis = -1;

        private Sequence(Call call, long promptTokensLeft) {
            this.call = call;
            this.promptTokensLeft = promptTokensLeft;
            this.answerTokensLeft = call.answerTokens;
        }
    }

    FakeEngine(EventScheduler scheduler, Histogram gapMicros, Consumer<Call> onFinished) {
        this.scheduler = scheduler;
        this.gapMicros = gapMicros;
        this.onFinished = onFinished;
    }

    void setSlowFactor(double factor) {
        slowFactor = factor;
        stepMillis = BASE_STEP_MILLIS * factor;
    }

    double stepMillis() {
        return stepMillis;
    }

    double prefillTokensPerSecond() {
        return MILLIS_PER_SECOND / (PREFILL_MILLIS_PER_TOKEN * slowFactor);
    }

    void start(Call call) {
        call.hitTokens = lookUpPrefix(call.prefix);
        sequences.add(new Sequence(call, call.shape.promptTokens() - call.hitTokens));
        if (!stepping) {
            step();
        }
    }

    /** Returns the number of cached prompt tokens, adds the prefix to the cache and evicts least recently used blocks. */
    private long lookUpPrefix(PromptPrefix prefix) {
        long hitTokens = 0;
        for (PromptPrefix.Block block : prefix.blocks()) {
            Long tokens = cache.remove(block.hash());
            hitTokens = tokens == null ? hitTokens : tokens;
            cachedTokens += tokens == null ? block.tokens() : 0;
            cache.put(block.hash(), block.tokens());
        }
        Iterator<Long> oldestFirst = cache.values().iterator();
        while (cachedTokens > CACHE_CAPACITY_TOKENS) {
            cachedTokens -= oldestFirst.next();
            oldestFirst.remove();
        }
        return hitTokens;
    }

    private void step() {
        stepping = !sequences.isEmpty();
        if (!stepping) {
            return;
        }
        long prefillTokensLeft = MAX_PREFILL_TOKENS_PER_STEP;
        for (Sequence sequence : sequences) {
            long prefillTokens = Math.min(prefillTokensLeft, sequence.promptTokensLeft);
            sequence.promptTokensLeft -= prefillTokens;
            prefillTokensLeft -= prefillTokens;
        }
        double millis = slowFactor
                * (BASE_STEP_MILLIS
                        + STEP_MILLIS_PER_REQUEST * sequences.size()
                        + PREFILL_MILLIS_PER_TOKEN * (MAX_PREFILL_TOKENS_PER_STEP - prefillTokensLeft));
        stepMillis += STEP_SMOOTHING_FACTOR * (millis - stepMillis);
        scheduler.schedule(millis, this::endStep);
    }

    private void endStep() {
        List<Sequence> finishedSequences = new ArrayList<>();
        for (Sequence sequence : sequences) {
            if (sequence.promptTokensLeft == 0) {
                emitToken(sequence);
            }
            if (sequence.answerTokensLeft == 0) {
                finishedSequences.add(sequence);
            }
        }
        sequences.removeAll(finishedSequences);
        finishedSequences.forEach(sequence -> onFinished.accept(sequence.call));
        step();
    }

    private void emitToken(Sequence sequence) {
        double nowMillis = scheduler.nowMillis();
        if (sequence.lastTokenMillis < 0) {
            sequence.call.firstTokenMillis = nowMillis;
        } else {
            gapMicros.recordValue((long) ((nowMillis - sequence.lastTokenMillis) * MICROS_PER_MILLI));
        }
        sequence.lastTokenMillis = nowMillis;
        sequence.answerTokensLeft--;
    }
}
