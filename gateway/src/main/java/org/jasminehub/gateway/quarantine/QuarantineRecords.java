package org.jasminehub.gateway.quarantine;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.jasminehub.core.event.EventSink;
import org.jasminehub.core.time.Clock;
import org.jasminehub.gateway.control.ControlEvent;
import org.jasminehub.gateway.control.ControlEventKind;
import org.jasminehub.gateway.control.DelayedRunner;
import org.jasminehub.gateway.control.InstanceDirectory;
import org.jasminehub.platform.hosted.StoreClient;
import org.jasminehub.platform.hosted.StoreTopic;
import org.jasminehub.wire.generated.QuarantinedParts;

/**
 * Keeps the quarantines in the store, so that they outlive all processes. The log of instances is used because all
 * instances follow it already.
 *
 * <p>Must be used on the process's event loop only.
 */
final class QuarantineRecords {
    private static final long APPEND_TIMEOUT_MILLIS = 1_000;
    private static final long APPEND_RETRY_MILLIS = 1_000;

    /** All instances reach the same verdict at the same time; most of them see the record of another one first. */
    private static final long APPEND_SPREAD_MILLIS = 400;

    private final StoreClient store;
    private final InstanceDirectory directory;
    private final QuarantineTerms terms;
    private final DelayedRunner timer;
    private final RandomGenerator random;
    private final Clock clock;
    private final EventSink events;
    private final Set<String> pending = new HashSet<>();

    QuarantineRecords(
            StoreClient store,
            InstanceDirectory directory,
            QuarantineTerms terms,
            DelayedRunner timer,
            RandomGenerator random,
            Clock clock,
            EventSink events) {
        this.store = store;
        this.directory = directory;
        this.terms = terms;
        this.timer = timer;
        this.random = random;
        this.clock = clock;
        this.events = events;
    }

    /** Makes the store agree with the quarantine soon, unless another instance does so before. */
    void update() {
        Set<String> changed = new HashSet<>(directory.quarantines().keySet());
        terms.quarantined().forEach(text -> {
            if (!changed.remove(text)) {
                changed.add(text);
            }
        });
        for (String text : changed) {
            if (pending.add(text)) {
                timer.runAfter(random.nextLong(APPEND_SPREAD_MILLIS), () -> write(text));
            }
        }
    }

    private void write(String text) {
        long remainingMillis = terms.remainingMillis(text);
        boolean isQuarantined = remainingMillis > 0;
        if (isQuarantined == directory.quarantines().containsKey(text)) {
            pending.remove(text);
            return;
        }
        QuarantinedParts entry = QuarantinedParts.newBuilder()
                .setUntilWallMillis(clock.wallMillis() + remainingMillis)
                .build();
        store.append(
                        StoreTopic.INSTANCES,
                        InstanceDirectory.QUARANTINE_KEY_PREFIX + text,
                        isQuarantined ? entry.toByteArray() : null,
                        APPEND_TIMEOUT_MILLIS)
                .whenComplete((done, failure) -> {
                    if (failure == null) {
                        pending.remove(text);
                        return;
                    }
                    events.emit(new ControlEvent(
                            ControlEventKind.STORE_LOST,
                            text,
                            "could not record the quarantine, retrying: " + failure.getMessage(),
                            0));
                    timer.runAfter(APPEND_RETRY_MILLIS, () -> write(text));
                });
    }
}
