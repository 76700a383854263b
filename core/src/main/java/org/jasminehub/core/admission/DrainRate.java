package org.jasminehub.core.admission;

/** Measures how much work an endpoint finishes while work waits. Not safe for use by several threads. */
final class DrainRate {
    private static final long WINDOW_MILLIS = 2_000;
    private static final double GAIN = 0.5;
    private static final double LARGE_CHANGE = 1.5;

    private double tokensPerMilli;
    private boolean isMeasured;
    private long windowStartMillis = -1;
    private long windowTokens;

    DrainRate(EngineSpeed speed) {
        this.tokensPerMilli = speed.tokensPerMilli();
    }

    double tokensPerMilli() {
        return tokensPerMilli;
    }

    /** Scales the rate when the engine's speed changes by much, and leaves smaller changes to be measured. */
    void adapt(EngineSpeed old, EngineSpeed present) {
        double ratio = present.tokensPerMilli() / old.tokensPerMilli();
        if (ratio < 1 / LARGE_CHANGE || ratio > LARGE_CHANGE) {
            tokensPerMilli *= ratio;
            windowStartMillis = -1;
        }
    }

    /** Notes work that ended at {@code nowMillis}; {@code backlogged} tells whether other work waited meanwhile. */
    void finished(long nowMillis, long workTokens, boolean backlogged) {
        if (!backlogged) {
            windowStartMillis = -1;
            return;
        }
        if (windowStartMillis < 0) {
            windowStartMillis = nowMillis;
            windowTokens = 0;
            return;
        }
        windowTokens += workTokens;
        long elapsedMillis = nowMillis - windowStartMillis;
        if (elapsedMillis >= WINDOW_MILLIS) {
            update((double) windowTokens / elapsedMillis);
            windowStartMillis = nowMillis;
            windowTokens = 0;
        }
    }

    private void update(double measured) {
        double gain = isMeasured ? GAIN : 1;
        tokensPerMilli += gain * (measured - tokensPerMilli);
        isMeasured = true;
    }
}
