package org.jasminehub.core.era;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jasminehub.core.time.Clock;

/**
 * Tracks the newest known era of the store and the time since it began.
 *
 * <p>After a restore the store shows an older state until the writers of the lost records have written them again.
 * During this time a record that is missing or older than a known one proves nothing.
 *
 * <p>Not thread-safe.
 */
public final class EraTracker {
    /** Writers write lost records again within about two seconds of the store's return. */
    public static final long REWRITE_MILLIS = 2_200;

    /** The relation of an observed era to the newest known one. */
    public enum Observation {
        /** No era was known before. */
        FIRST,
        /** The era is the newest known one. */
        CURRENT,
        /** The store was restored since the last observation. */
        RISEN,
        /** The observation was made before the latest known restore. */
        OUTDATED
    }

    private final Clock clock;
    private final List<Runnable> riseListeners = new ArrayList<>();
    private Optional<StoreEra> current = Optional.empty();
    private long risenAtMillis;
    private boolean hasRisen;

    /** Creates a tracker that knows no era. */
    public EraTracker(Clock clock) {
        this.clock = clock;
    }

    /** Adds a listener that runs after each rise of the era. */
    public void onRise(Runnable listener) {
        riseListeners.add(listener);
    }

    /** Records an era that the store or a peer reported and returns its relation to the newest one known until now. */
    public Observation observe(StoreEra era) {
        Optional<StoreEra> known = current;
        int order = known.map(era::compareTo).orElse(1);
        if (order <= 0) {
            return order == 0 ? Observation.CURRENT : Observation.OUTDATED;
        }
        current = Optional.of(era);
        if (known.isEmpty()) {
            return Observation.FIRST;
        }
        hasRisen = true;
        risenAtMillis = clock.monotonicMillis();
        riseListeners.forEach(Runnable::run);
        return Observation.RISEN;
    }

    /** Returns the newest known era, or empty if none was reported. */
    public Optional<StoreEra> current() {
        return current;
    }

    /** Returns whether records lost in the latest restore may not have been written again yet. */
    public boolean isRewriting() {
        return rewriteRemainingMillis() > 0;
    }

    /** Returns the time until the records lost in the latest restore count as written again, 0 if they do already. */
    public long rewriteRemainingMillis() {
        return hasRisen ? Math.max(0, risenAtMillis + REWRITE_MILLIS - clock.monotonicMillis()) : 0;
    }

    /** Returns whether a read that was sent at {@code requestedMillis} shows all records that were ever acknowledged. */
    public boolean isCompleteSince(long requestedMillis) {
        return !hasRisen || requestedMillis >= risenAtMillis + REWRITE_MILLIS;
    }
}
