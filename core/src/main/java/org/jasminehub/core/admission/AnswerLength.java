package org.jasminehub.core.admission;

/** Learns how long answers are, relative to the most they may have. Not safe for use by several threads. */
final class AnswerLength {
    private static final double INITIAL_SHARE = 0.5;
    private static final double GAIN = 0.05;

    private static final double DEVIATIONS = 2;

    private double share = INITIAL_SHARE;
    private double deviation;

    double expectedTokens(long maxAnswerTokens) {
        return share * maxAnswerTokens;
    }

    /** Returns a length that few answers go beyond. */
    double longTokens(long maxAnswerTokens) {
        return Math.min(1, share + DEVIATIONS * deviation) * maxAnswerTokens;
    }

    void record(long answerTokens, long maxAnswerTokens) {
        if (maxAnswerTokens > 0) {
            double observed = Math.min(1, (double) answerTokens / maxAnswerTokens);
            deviation += GAIN * (Math.abs(observed - share) - deviation);
            share += GAIN * (observed - share);
        }
    }
}
