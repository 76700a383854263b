package org.jasminehub.core.history;

import org.jasminehub.core.internal.Checks;

/**
 * Keeps what an instance has heard about being current, and how long ago.
 *
 * <pre>{@code
 * tracker.caughtUp(clock.monotonicMillis());
 * Currency currency = tracker.currency(replay.isComplete(), clock.monotonicMillis());
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class CurrencyTracker {
    private static final long NEVER = Long.MIN_VALUE;

    private final long maxAgeMillis;
    private long caughtUpMillis = NEVER;
    private long agreedMillis = NEVER;

    /** Creates a tracker that forgets what it heard after {@code maxAgeMillis}. */
    public CurrencyTracker(long maxAgeMillis) {
        this.maxAgeMillis = Checks.positive("maxAgeMillis", maxAgeMillis);
    }

    /** Notes that at {@code monotonicMillis} the log, or a peer that knows its end, had nothing newer. */
    public void caughtUp(long monotonicMillis) {
        caughtUpMillis = Math.max(caughtUpMillis, monotonicMillis);
    }

    /** Notes that at {@code monotonicMillis} a peer that does not know the log's end had nothing newer. */
    public void agreed(long monotonicMillis) {
        agreedMillis = Math.max(agreedMillis, monotonicMillis);
    }

    /** Returns how long before {@code nowMillis} the log's end was known, or a negative value if it never was. */
    public long evidenceAgeMillis(long nowMillis) {
        return caughtUpMillis == NEVER ? -1 : nowMillis - caughtUpMillis;
    }

    /** Returns what is known at {@code nowMillis}; {@code complete} tells whether the replay missed no record. */
    public Currency currency(boolean complete, long nowMillis) {
        if (!complete) {
            return Currency.MISSED_RECORDS;
        }
        if (isRecent(caughtUpMillis, nowMillis)) {
            return Currency.CURRENT;
        }
        return isRecent(agreedMillis, nowMillis) ? Currency.AGREED_WITH_PEERS : Currency.UNKNOWN;
    }

    private boolean isRecent(long heardMillis, long nowMillis) {
        return heardMillis != NEVER && nowMillis - heardMillis <= maxAgeMillis;
    }
}
