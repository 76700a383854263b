package org.jasminehub.core.history;

import org.jasminehub.core.internal.Checks;

/**
 * Tracks how recently an instance had evidence that its documents are up to date.
 *
 * <pre>{@code
 * tracker.onCaughtUp(clock.monotonicMillis());
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

    /** Creates a tracker in which evidence expires after {@code maxAgeMillis}. */
    public CurrencyTracker(long maxAgeMillis) {
        this.maxAgeMillis = Checks.positive("maxAgeMillis", maxAgeMillis);
    }

    /** Records that at {@code monotonicMillis} the log, or a peer that had read to its end, had nothing newer. */
    public void onCaughtUp(long monotonicMillis) {
        caughtUpMillis = Math.max(caughtUpMillis, monotonicMillis);
    }

    /** Records that at {@code monotonicMillis} a peer that had not read to the end of the log had nothing newer. */
    public void onPeerAgreed(long monotonicMillis) {
        agreedMillis = Math.max(agreedMillis, monotonicMillis);
    }

    /** Returns the time since the instance was last caught up with the log, or a negative value if it never was. */
    public long evidenceAgeMillis(long nowMillis) {
        return caughtUpMillis == NEVER ? -1 : nowMillis - caughtUpMillis;
    }

    /** Returns the currency at {@code nowMillis}; {@code complete} is whether the replay missed no record. */
    public Currency currency(boolean complete, long nowMillis) {
        if (!complete) {
            return Currency.MISSED_RECORDS;
        }
        if (isRecent(caughtUpMillis, nowMillis)) {
            return Currency.CURRENT;
        }
        return isRecent(agreedMillis, nowMillis) ? Currency.AGREED_WITH_PEERS : Currency.UNKNOWN;
    }

    private boolean isRecent(long evidenceMillis, long nowMillis) {
        return evidenceMillis != NEVER && nowMillis - evidenceMillis <= maxAgeMillis;
    }
}
