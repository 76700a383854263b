package org.jasminehub.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.jasminehub.platform.hosted.StoreCallKind;
import org.jasminehub.platform.hosted.StoreCallListener;
import org.jasminehub.platform.hosted.StoreTopic;

/** Counts the calls to the store by log and kind, as {@code store.calls.TOPIC.KIND}. */
final class StoreCallMetrics implements StoreCallListener {
    private final Map<StoreTopic, Map<StoreCallKind, Counter>> counters = new EnumMap<>(StoreTopic.class);

    StoreCallMetrics(MetricRegistry metrics) {
        for (StoreTopic topic : StoreTopic.values()) {
            Map<StoreCallKind, Counter> byKind = new EnumMap<>(StoreCallKind.class);
            for (StoreCallKind kind : StoreCallKind.values()) {
                byKind.put(kind, metrics.counter(name(topic, kind)));
            }
            counters.put(topic, byKind);
        }
    }

    /** Returns the name of the metric that counts the calls of {@code kind} to {@code topic}. */
    static String name(StoreTopic topic, StoreCallKind kind) {
        return "store.calls." + topic.name().toLowerCase(Locale.ROOT) + "."
                + kind.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public void onCall(StoreTopic topic, StoreCallKind kind) {
        Map<StoreCallKind, Counter> byKind = counters.get(topic);
        Counter counter = byKind == null ? null : byKind.get(kind);
        if (counter != null) {
            counter.inc();
        }
    }
}
