package org.jasminehub.core.admission;

/**
 * Measures the rate at which an endpoint completes work while other work waits.
 *
 * <p>Not thread-safe.
 */
final class DrainRate {
    private static final long WINDOW_MILLIS = 2_000;
    private static final double SMOOTHING = 0.5;
    private static final double LARGE_CHANGE_FACTOR = 1.5;

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

    /** Scales the rate after a large change of the engine's speed; smaller changes show in the measurements. */
    void adapt(EngineSpeed oldSpeed, EngineSpeed newSpeed) {
        double ratio = newSpeed.tokensPerMilli() / oldSpeed.tokensPerMilli();
        if (ratio < 1 / LARGE_CHANGE_FACTOR || ratio > LARGE_CHANGE_FACTOR) {
            tokensPerMilli *= ratio;
            windowStartMillis = -1;
        }
    }

    /** Records work that ended at {@code nowMillis}. Set {@code backlogged} if other work is waiting. */
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

    private void update(double measuredRate) {
        double smoothing = isMeasured ? SMOOTHING : 1;
        tokensPerMilli += smoothing * (measuredRate - tokensPerMilli);
        isMeasured = true;
    }
}
