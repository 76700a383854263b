package org.jasminehub.core.admission;

/**
 * Estimates the length of answers as a share of their maximum length, with exponential smoothing.
 *
 * <p>Not thread-safe.
 */
final class AnswerLength {
    private static final double INITIAL_SHARE = 0.5;
    private static final double SMOOTHING = 0.05;

    private static final double DEVIATIONS = 2;

    private double share = INITIAL_SHARE;
    private double deviation;

    double expectedTokens(long maxAnswerTokens) {
        return share * maxAnswerTokens;
    }

    /** Returns a length that few answers exceed. */
    double longTokens(long maxAnswerTokens) {
        return Math.min(1, share + DEVIATIONS * deviation) * maxAnswerTokens;
    }

    void record(long answerTokens, long maxAnswerTokens) {
        if (maxAnswerTokens > 0) {
            double observed = Math.min(1, (double) answerTokens / maxAnswerTokens);
            deviation += SMOOTHING * (Math.abs(observed - share) - deviation);
            share += SMOOTHING * (observed - share);
        }
    }
}
